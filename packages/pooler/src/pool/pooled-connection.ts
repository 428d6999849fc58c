import {type Result} from 'neverthrow';
import {
	type ConnectionError, type EndpointAnswer, type EndpointCommand, type EndpointConnection,
} from '../endpoint/index.js';

/** Connection with the session state that was set up on it. */
export class PooledConnection {
	/** Session values in force at the endpoint. */
	readonly values = new Map<string, string>();
	/** Names of the statements that the endpoint has prepared. */
	readonly prepared = new Set<string>();
	/** Monotonic time at which it was last given back. */
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
