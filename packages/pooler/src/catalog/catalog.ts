import {
	type CatalogListener, type CatalogPart, type Configuration, type Endpoint, type Route, type ServiceLimits,
} from './definitions.js';

type Subscriber = () => void;

/** Configuration and endpoints in force at this host. The version of the configuration never decreases within the life of a process. */
export class Catalog implements CatalogListener {
	#configuration: Configuration | undefined;
	#endpoints: readonly Endpoint[] | undefined;
	#endpointsChangedAfterMs = Number.NEGATIVE_INFINITY;
	readonly #confirmedAtMs = new Map<CatalogPart, number>();
	#routes = new Map<string, Route>();
	readonly #subscribers: Subscriber[] = [];

	/**
	 * Monotonic time at which the previous list of endpoints was last confirmed, in ms. The changes that led to the
	 * current list were acknowledged after that.
	 */
	get endpointsChangedAfterMs(): number {
		return this.#endpointsChangedAfterMs;
	}

	get version(): number {
		return this.#configuration?.version ?? 0;
	}

	get transactionIdleMs(): number {
		return this.#configuration?.transactionIdleMs ?? Number.POSITIVE_INFINITY;
	}

	/** Whether both the configuration and the endpoints have been read at least once. */
	get isLoaded(): boolean {
		return this.#configuration !== undefined && this.#endpoints !== undefined;
	}

	get services(): readonly ServiceLimits[] {
		return this.#configuration?.services ?? [];
	}

	get endpoints(): readonly Endpoint[] {
		return this.#endpoints ?? [];
	}

	/** Time since the store last confirmed a part, in ms; undefined if it has not yet. */
	ageMs(part: CatalogPart, nowMs: number): number | undefined {
		const confirmedAtMs = this.#confirmedAtMs.get(part);
		return confirmedAtMs === undefined ? undefined : Math.round(nowMs - confirmedAtMs);
	}

	route(database: string): Route | undefined {
		return this.#routes.get(database);
	}

	/** Calls `subscriber` after each change. */
	subscribe(subscriber: Subscriber): void {
		this.#subscribers.push(subscriber);
	}

	onConfiguration(configuration: Configuration): boolean {
		if (configuration.version < this.version) {
			return false;
		}

		this.#configuration = configuration;
		this.#routes = new Map(configuration.routes.map(route => [route.database, route]));
		this.#notify();
		return true;
	}

	onEndpoints(endpoints: readonly Endpoint[]): void {
		this.#endpoints = endpoints;
		this.#endpointsChangedAfterMs = this.#confirmedAtMs.get('endpoints') ?? Number.NEGATIVE_INFINITY;
		this.#notify();
	}

	onConfirmed(part: CatalogPart, atMs: number): void {
		this.#confirmedAtMs.set(part, atMs);
	}

	#notify(): void {
		for (const subscriber of this.#subscribers) {
			subscriber();
		}
	}
}
