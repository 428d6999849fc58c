import {err, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type LeaseError} from './definitions.js';
import {type PooledConnection, type PreparedOnConnection} from './pooled-connection.js';

/**
 * Exclusive use of a pooled connection, from its acquisition until the connection is given back. Commands are refused
 * after that, because the connection may belong to another user by then.
 */
export class ConnectionLease {
	#connection: PooledConnection | undefined;
	readonly #values: ReadonlyMap<string, string>;
	readonly #prepared: PreparedOnConnection;

	constructor(connection: PooledConnection) {
		this.#connection = connection;
		this.#values = connection.values;
		this.#prepared = connection.prepared;
	}

	/** Session values in force at the endpoint. */
	get values(): ReadonlyMap<string, string> {
		return this.#values;
	}

	/** Names of the statements that are prepared on the connection. */
	get prepared(): PreparedOnConnection {
		return this.#prepared;
	}

	async run(command: EndpointCommand, timeoutMs: number): Promise<Result<EndpointAnswer, LeaseError>> {
		return this.#connection
			? this.#connection.run(command, timeoutMs)
			: err({kind: 'lease-ended', message: 'The connection was given back; acquire another one.'});
	}

	/** Ends the lease. Returns the connection, or undefined if the lease has ended before. */
	end(): PooledConnection | undefined {
		const connection = this.#connection;
		this.#connection = undefined;
		return connection;
	}

	/**
	 * Ends the lease and returns a new one, so that only its holder can send further commands. These run after a command
	 * that is still in progress. Undefined if the lease has ended before.
	 */
	transfer(): ConnectionLease | undefined {
		const connection = this.end();
		return connection && new ConnectionLease(connection);
	}
}
