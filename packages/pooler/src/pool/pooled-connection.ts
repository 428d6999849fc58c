import {type Result} from 'neverthrow';
import {
	type ConnectionError, type EndpointAnswer, type EndpointCommand, type EndpointConnection,
} from '../endpoint/index.js';

/** An endpoint connection together with the session state that is set up on it. */
export class PooledConnection {
	/** Session values in force at the endpoint. */
	readonly values = new Map<string, string>();
	/** Names of the statements that are prepared on the connection. */
	readonly prepared = new Set<string>();
	/** Monotonic time at which the connection was last released to the pool, in ms. */
	idleSinceMs = 0;

	constructor(private readonly connection: EndpointConnection) {}

	get isOpen(): boolean {
		return this.connection.isOpen;
	}

	async run(command: EndpointCommand, timeoutMs: number): Promise<Result<EndpointAnswer, ConnectionError>> {
		return this.connection.run(command, timeoutMs);
	}

	close(): void {
		this.connection.close();
	}
}
