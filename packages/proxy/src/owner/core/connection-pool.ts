import {type GroupMember, statementConnectionsPerSeat} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type ConnectError, type EndpointReply} from '../../endpoint/index.js';
import {type OwnerOptions} from '../definitions.js';
import {ConnectionLease, type PooledConnection} from './connection-lease.js';

type PoolOptions = Pick<OwnerOptions, 'connector' | 'timers' | 'policy' | 'database' | 'seat' | 'hostId'>;
type Waiter = (lease: Result<ConnectionLease, ConnectError>) => void;

// Opening a connection costs the instance about 10 ms; opening more at once would delay running statements.
const maxConcurrentOpens = 2;

const buildConnectError = (message: string): ConnectError => ({kind: 'unreachable', message});

/**
 * Connections of one seat to one instance. Each has an index below the seat's budget, and a new connection
 * replaces an earlier one with the same index at the instance. The budget is therefore kept even while the
 * instance still counts a connection that this side has closed.
 */
export class ConnectionPool {
	readonly #idle: PooledConnection[] = [];
	/** Indexes of all connections that are open or being opened, also of those above a lowered cap. */
	readonly #takenIndexes = new Set<number>();
	#size: number;
	#waiters: Waiter[] = [];
	#openingCount = 0;
	#isClosed = false;

	constructor(private readonly options: PoolOptions, private readonly member: GroupMember) {
		this.#size = statementConnectionsPerSeat(options.policy.connectionCap);
	}

	/** Applies a new connection cap. Connections above a lowered cap are closed when they become free. */
	resize(): void {
		this.#size = statementConnectionsPerSeat(this.options.policy.connectionCap);
		for (const pooled of this.#idle.splice(0)) {
			this.#offer(pooled);
		}

		this.#openMore();
	}

	/** Acquires an idle connection, a new one, or the next one released within `timeoutMs`. */
	async acquire(timeoutMs: number): Promise<Result<ConnectionLease, ConnectError>> {
		if (this.#isClosed) {
			return err(buildConnectError('The pool is closed.'));
		}

		const idle = this.#takeIdle();
		if (idle) {
			return ok(new ConnectionLease(idle));
		}

		return new Promise(resolve => {
			const deadline = this.options.timers.after(timeoutMs, () => {
				this.#waiters = this.#waiters.filter(other => other !== waiter);
				resolve(err(buildConnectError(`No connection to ${this.member.memberId} became free within ${Math.round(timeoutMs)} ms; raise the connection cap or shorten transactions.`)));
			});
			const waiter: Waiter = lease => {
				deadline.cancel();
				resolve(lease);
			};

			this.#waiters.push(waiter);
			this.#openMore();
		});
	}

	/**
	 * Ends the lease and returns its connection to the pool. It must not have a transaction open. Closes the connection
	 * instead if a request is still in progress on it. Without effect if the lease has ended before.
	 */
	release(lease: ConnectionLease): void {
		if (lease.isBusy) {
			this.discard(lease);
			return;
		}

		const pooled = lease.end();
		if (pooled) {
			this.#offer(pooled);
		}
	}

	/** Returns a connection after a statement outside a transaction; closes the idle ones too if the statement timed out. */
	releaseAfterStatement(lease: ConnectionLease, reply: EndpointReply): void {
		if (reply.kind === 'lost' && reply.reason === 'no-answer-in-time') {
			this.#discardIdle();
		}

		this.release(lease);
	}

	/** Ends the lease and closes its connection, whose state is not known to be clean. Without effect if the lease has ended before. */
	discard(lease: ConnectionLease): void {
		const pooled = lease.end();
		if (pooled) {
			this.#closeConnection(pooled);
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const {connection} of this.#idle.splice(0)) {
			connection.close();
		}

		this.#failWaiters(buildConnectError('The pool is closed.'));
	}

	/**
	 * Closes the idle connections after a connection stopped responding: a fault that silences one connection
	 * often silences all that are open at the time. New ones are opened on demand.
	 */
	#discardIdle(): void {
		for (const pooled of this.#idle.splice(0)) {
			this.#closeConnection(pooled);
		}
	}

	/** Gives a connection that nobody uses to the next waiter, or keeps it idle. */
	#offer(pooled: PooledConnection): void {
		if (!pooled.connection.isUsable || this.#isClosed || pooled.index >= this.#size) {
			this.#closeConnection(pooled);
			return;
		}

		const waiter = this.#waiters.shift();
		if (waiter) {
			waiter(ok(new ConnectionLease(pooled)));
		} else {
			this.#idle.push(pooled);
		}
	}

	#closeConnection({index, connection}: PooledConnection): void {
		connection.close();
		this.#takenIndexes.delete(index);
		this.#openMore();
	}

	#takeIdle(): PooledConnection | undefined {
		for (let pooled = this.#idle.pop(); pooled; pooled = this.#idle.pop()) {
			if (pooled.connection.isUsable) {
				return pooled;
			}

			this.#takenIndexes.delete(pooled.index);
		}

		return undefined;
	}

	#findFreeIndex(): number | undefined {
		return Array.from({length: this.#size}, (_, index) => index).find(index => !this.#takenIndexes.has(index));
	}

	#openMore(): void {
		while (!this.#isClosed && this.#openingCount < Math.min(maxConcurrentOpens, this.#waiters.length)) {
			const index = this.#findFreeIndex();
			if (index === undefined) {
				return;
			}

			void this.#open(index);
		}
	}

	async #open(index: number): Promise<void> {
		this.#openingCount += 1;
		this.#takenIndexes.add(index);
		const opened = await this.options.connector.connect(this.member.address, this.#createIdentity(index), this.options.policy.connectTimeoutMs);
		this.#openingCount -= 1;
		if (opened.isOk()) {
			this.#offer({index, connection: opened.value});
			this.#openMore();
			return;
		}

		this.#takenIndexes.delete(index);
		// The other waiters would run into the same failure, so they fail immediately.
		this.#failWaiters(opened.error);
	}

	#failWaiters(error: ConnectError): void {
		for (const waiter of this.#waiters.splice(0)) {
			waiter(err(error));
		}
	}

	#createIdentity(index: number) {
		const {database, seat, hostId} = this.options;
		return {
			database, rank: seat.rank, generation: seat.generation, index, hostId,
		};
	}
}
