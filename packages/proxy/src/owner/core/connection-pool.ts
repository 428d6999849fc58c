import {type GroupMember, statementConnectionsPerSeat} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type ConnectError, type EndpointConnection, type EndpointReply} from '../../endpoint/index.js';
import {type OwnerOptions} from '../definitions.js';

type PoolOptions = Pick<OwnerOptions, 'connector' | 'timers' | 'policy' | 'database' | 'seat' | 'hostId'>;
type Waiter = (lease: Result<PooledConnection, ConnectError>) => void;

/** A connection with its index in the pool. */
export type PooledConnection = {
	index: number;
	connection: EndpointConnection;
};

// Opening costs the instance about 10 ms each; more at once would delay the statements that run.
const maxConcurrentOpens = 2;

const noConnection = (message: string): ConnectError => ({kind: 'unreachable', message});

/**
 * Connections of one seat to one instance. Each has an index below the seat's budget, and the instance
 * replaces an earlier connection of the same index, so the budget holds also when the instance still
 * counts a connection that this side has given up.
 */
export class ConnectionPool {
	readonly #idle: PooledConnection[] = [];
	readonly #freeIndexes: number[];
	#size: number;
	#waiters: Waiter[] = [];
	#opening = 0;
	#closed = false;

	constructor(private readonly options: PoolOptions, private readonly member: GroupMember) {
		this.#size = statementConnectionsPerSeat(options.policy.connectionCap);
		this.#freeIndexes = Array.from({length: this.#size}, (_, index) => this.#size - 1 - index);
	}

	/** Follows a new connection cap; connections over a lower one are closed as they become free. */
	resize(): void {
		const size = statementConnectionsPerSeat(this.options.policy.connectionCap);
		const added = Array.from({length: Math.max(0, size - this.#size)}, (_, index) => this.#size + index);
		this.#size = size;
		this.#freeIndexes.splice(0, this.#freeIndexes.length, ...this.#freeIndexes.filter(index => index < size), ...added);
		for (const lease of this.#idle.splice(0)) {
			this.release(lease);
		}

		this.#openMore();
	}

	/** Gives an idle connection, a new one, or the next one that is released before `timeoutMs`. */
	async acquire(timeoutMs: number): Promise<Result<PooledConnection, ConnectError>> {
		if (this.#closed) {
			return err(noConnection('The pool is closed.'));
		}

		const idle = this.#takeIdle();
		if (idle) {
			return ok(idle);
		}

		return new Promise(resolve => {
			const deadline = this.options.timers.after(timeoutMs, () => {
				this.#waiters = this.#waiters.filter(other => other !== waiter);
				resolve(err(noConnection(`No connection to ${this.member.memberId} became free within ${Math.round(timeoutMs)} ms; raise the connection cap or shorten transactions.`)));
			});
			const waiter: Waiter = lease => {
				deadline.cancel();
				resolve(lease);
			};

			this.#waiters.push(waiter);
			this.#openMore();
		});
	}

	/** Takes a connection back. It must not have a transaction open. */
	release(lease: PooledConnection): void {
		if (!lease.connection.usable || this.#closed || lease.index >= this.#size) {
			this.discard(lease);
			return;
		}

		const waiter = this.#waiters.shift();
		if (waiter) {
			waiter(ok(lease));
		} else {
			this.#idle.push(lease);
		}
	}

	/** Takes a connection back after a statement outside a transaction. */
	giveBack(lease: PooledConnection, reply: EndpointReply): void {
		if (reply.kind === 'lost' && reply.reason === 'no-answer-in-time') {
			this.#discardIdle();
		}

		this.release(lease);
	}

	/** Closes a connection whose state is not known to be clean. */
	discard({index, connection}: PooledConnection): void {
		connection.close();
		this.#free(index);
		this.#openMore();
	}

	close(): void {
		this.#closed = true;
		for (const {connection} of this.#idle.splice(0)) {
			connection.close();
		}

		this.#failWaiters(noConnection('The pool is closed.'));
	}

	/**
	 * Closes the idle connections after one of them went silent: what lost track of one has often lost
	 * track of all that were open at the time. Fresh ones are opened as they are needed.
	 */
	#discardIdle(): void {
		for (const lease of this.#idle.splice(0)) {
			this.discard(lease);
		}
	}

	#takeIdle(): PooledConnection | undefined {
		for (let lease = this.#idle.pop(); lease; lease = this.#idle.pop()) {
			if (lease.connection.usable) {
				return lease;
			}

			this.#free(lease.index);
		}

		return undefined;
	}

	#free(index: number): void {
		if (index < this.#size) {
			this.#freeIndexes.push(index);
		}
	}

	#openMore(): void {
		while (!this.#closed && this.#opening < Math.min(maxConcurrentOpens, this.#waiters.length) && this.#freeIndexes.length > 0) {
			void this.#open(this.#freeIndexes.pop()!);
		}
	}

	async #open(index: number): Promise<void> {
		this.#opening += 1;
		const opened = await this.options.connector.connect(this.member.address, this.#identity(index), this.options.policy.connectTimeoutMs);
		this.#opening -= 1;
		if (opened.isOk()) {
			this.release({index, connection: opened.value});
			this.#openMore();
			return;
		}

		this.#free(index);
		// Those who wait would wait for the same failure; they get their answer now.
		this.#failWaiters(opened.error);
	}

	#failWaiters(error: ConnectError): void {
		for (const waiter of this.#waiters.splice(0)) {
			waiter(err(error));
		}
	}

	#identity(index: number) {
		const {database, seat, hostId} = this.options;
		return {
			database, rank: seat.rank, generation: seat.generation, index, hostId,
		};
	}
}
