import {type RequestKey} from '@dogwoodthread/protocol';
import {type EndpointConnection, type EndpointReply, type StatementCall} from '../../endpoint/index.js';

/** A connection with its index in the pool. */
export type PooledConnection = {
	index: number;
	connection: EndpointConnection;
};

const endedReply: EndpointReply = {kind: 'refused', code: 'connection-closed', message: 'The connection was given back before the request was sent.'};

/**
 * Exclusive use of a pooled connection, from its acquisition until it is given back. Requests are refused after that,
 * because the connection may belong to another caller by then.
 */
export class ConnectionLease {
	#pooled: PooledConnection | undefined;
	#runningCount = 0;

	constructor(pooled: PooledConnection) {
		this.#pooled = pooled;
	}

	/** Whether a request has been sent and not answered. */
	get isBusy(): boolean {
		return this.#runningCount > 0;
	}

	async execute(call: StatementCall, timeoutMs: number): Promise<EndpointReply> {
		return this.#run(async connection => connection.execute(call, timeoutMs));
	}

	async begin(term: number, timeoutMs: number): Promise<EndpointReply> {
		return this.#run(async connection => connection.begin(term, timeoutMs));
	}

	async commit(requestKey: RequestKey | undefined, timeoutMs: number): Promise<EndpointReply> {
		return this.#run(async connection => connection.commit(requestKey, timeoutMs));
	}

	async rollback(timeoutMs: number): Promise<EndpointReply> {
		return this.#run(async connection => connection.rollback(timeoutMs));
	}

	/** Ends the lease. Returns the connection, or undefined if the lease has ended before. */
	end(): PooledConnection | undefined {
		const pooled = this.#pooled;
		this.#pooled = undefined;
		return pooled;
	}

	async #run(send: (connection: EndpointConnection) => Promise<EndpointReply>): Promise<EndpointReply> {
		if (!this.#pooled) {
			return endedReply;
		}

		this.#runningCount += 1;
		const reply = await send(this.#pooled.connection);
		this.#runningCount -= 1;
		return reply;
	}
}
