import {type Endpoint} from '../catalog/index.js';

/** Number of incarnations that are remembered; the instances of a group are replaced a few at a time. */
const maxRemembered = 64;

/**
 * Instances that have announced that they leave. They end after that, and a start under the same id has another start
 * time, so an entry that shows one of them as ready again is older: a restore of the store has brought it back.
 */
export class DrainingIncarnations {
	readonly #remembered = new Set<string>();

	/** The endpoint, as draining if that incarnation has been draining before. An instance without a start time is taken as listed. */
	apply(endpoint: Endpoint): Endpoint {
		if (endpoint.startedUnixMs === 0) {
			return endpoint;
		}

		const incarnation = `${endpoint.endpointId}@${endpoint.startedUnixMs}`;
		if (endpoint.state === 'ready') {
			return this.#remembered.has(incarnation) ? {...endpoint, state: 'draining'} : endpoint;
		}

		this.#remember(incarnation);
		return endpoint;
	}

	#remember(incarnation: string): void {
		this.#remembered.add(incarnation);
		const [oldest] = this.#remembered;
		if (oldest !== undefined && this.#remembered.size > maxRemembered) {
			this.#remembered.delete(oldest);
		}
	}
}
