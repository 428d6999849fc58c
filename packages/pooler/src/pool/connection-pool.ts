import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type Endpoint} from '../catalog/index.js';
import {type ConnectError, type EndpointConnector} from '../endpoint/index.js';
import {ConnectionLease} from './connection-lease.js';
import {
	type AcquireError, type AcquireErrorKind, type AcquireRequest, type ConnectionShare,
} from './definitions.js';
import {PooledConnection} from './pooled-connection.js';

export type ConnectionPoolOptions = {
	endpoint: Endpoint;
	connector: EndpointConnector;
	timers: TimerService;
	share: () => ConnectionShare;
	/** Called after each connection attempt; `error` is undefined if it succeeded. */
	onConnectAttempt?: (error: ConnectError | undefined, durationMs: number) => void;
};

type Waiter = {
	request: AcquireRequest;
	settle: (result: Result<ConnectionLease, AcquireError>) => void;
	expiry: TimerSubscription;
};

/** Timeout for opening a connection, in ms. An endpoint needs about 12 ms, but queues the request behind its statements. */
const connectTimeoutMs = 1000;
/** Delay after a failed connection attempt, in ms, so that a dead endpoint is not flooded with attempts. */
const connectBackoffMs = 150;
/** The endpoint's report of its connections is ignored when it is older than this, in ms. */
const reportMaxAgeMs = 5000;
/** Connections of the endpoint that are kept free for hosts that have just started. */
const reservedConnections = 4;
/** Connections beyond the host's share that control commands may open when all others are in use. */
const controlConnections = 1;
/** Connections beyond the guaranteed share are closed after they have been idle for this long, in ms. */
const surplusIdleMs = 2000;
/**
 * Session values on a released connection outlive the session that counts them. With more than this the connection is
 * reset before it is used again. Usual sessions keep less, so that their connections need no further command.
 */
const maxIdleValueBytes = 8192;
/** Timeout for a reset, in ms; short, because a reset is no work for the endpoint. */
const resetTimeoutMs = 1000;
/** Weight of the newest sample in the moving average of the hold time of a connection. */
const holdTimeWeight = 0.1;
/** Initial value of the mean hold time of a connection, in ms. */
const initialMeanHoldMs = 20;

const errorMessages: Record<AcquireErrorKind, string> = {
	unreachable: 'cannot open a connection to the endpoint; another endpoint may serve the statement',
	overloaded: 'no connection becomes free before the deadline; retry later',
	closed: 'the endpoint is no longer used; choose another one',
};

const failure = (kind: AcquireErrorKind) => err<ConnectionLease, AcquireError>({kind, message: errorMessages[kind]});

/** Connections of this host to one endpoint. Requests are served by priority, then in order of arrival. */
export class ConnectionPool {
	readonly #idle: PooledConnection[] = [];
	readonly #waiters: Waiter[] = [];
	readonly #heldSinceMs = new Map<PooledConnection, number>();
	#opening = 0;
	#isClosed = false;
	#hasLastAttemptFailed = false;
	#retryAtMs = Number.NEGATIVE_INFINITY;
	#retryTimer: TimerSubscription | undefined;
	#meanHoldMs = initialMeanHoldMs;
	/** Connections of all hosts that the endpoint last reported, plus those that this pool has opened since. */
	#lastReport: {connections: number; atMs: number} | undefined;

	constructor(private readonly options: ConnectionPoolOptions) {}

	get inUseCount(): number {
		return this.#heldSinceMs.size;
	}

	get waitingCount(): number {
		return this.#waiters.length;
	}

	get totalCount(): number {
		return this.#idle.length + this.inUseCount + this.#opening;
	}

	recordReportedConnections(connections: number): void {
		this.#lastReport = {connections, atMs: this.options.timers.nowMs()};
	}

	async acquire(request: AcquireRequest): Promise<Result<ConnectionLease, AcquireError>> {
		if (this.#isClosed) {
			return failure('closed');
		}

		const idle = this.#takeIdle();
		if (idle) {
			return ok(this.#startHold(idle));
		}

		if (this.#isDeadlineUnreachable(request)) {
			return failure('overloaded');
		}

		return new Promise(resolve => {
			const expiry = this.options.timers.after(Math.max(0, request.deadlineMs - this.options.timers.nowMs()), () => {
				this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
				resolve(failure('overloaded'));
			});
			const waiter: Waiter = {request, settle: resolve, expiry};
			const before = this.#waiters.findIndex(other => other.request.priority > request.priority);
			this.#waiters.splice(before === -1 ? this.#waiters.length : before, 0, waiter);
			this.#openIfNeeded();
		});
	}

	/**
	 * Ends the lease and returns its connection to the pool. Closes the connection instead if a command is still in
	 * progress on it or its transaction has not ended. Without effect if the lease has ended before.
	 */
	release(lease: ConnectionLease): void {
		const connection = lease.end();
		if (!connection) {
			return;
		}

		if (connection.isReusable && connection.valueBytes > maxIdleValueBytes) {
			void this.#resetAndTakeBack(connection);
		} else {
			this.#takeBack(connection);
		}
	}

	/** Ends the lease and closes its connection, whose state is unknown. Without effect if the lease has ended before. */
	discard(lease: ConnectionLease): void {
		const connection = lease.end();
		if (!connection) {
			return;
		}

		this.#endHold(connection);
		connection.close();
		this.#openIfNeeded();
	}

	/** Closes all idle connections, e.g. after one in use has timed out, since the others may be unresponsive as well. */
	closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.close();
		}
	}

	/** Fails the requests that wait for a connection, because the endpoint does not answer; control commands keep waiting. */
	failWaiting(): void {
		for (const waiter of this.#waiters.filter(({request}) => !request.canExceedShare)) {
			this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
			waiter.expiry.cancel();
			waiter.settle(failure('unreachable'));
		}
	}

	/** Closes idle connections beyond the guaranteed share, and opens one if there is none. */
	maintain(): void {
		const nowMs = this.options.timers.nowMs();
		const {guaranteed} = this.options.share();
		const surplus = this.#idle.filter(({idleSinceMs}) => nowMs - idleSinceMs > surplusIdleMs).slice(0, Math.max(0, this.totalCount - guaranteed));
		for (const connection of surplus) {
			this.#idle.splice(this.#idle.indexOf(connection), 1);
			connection.close();
		}

		if (this.totalCount === 0 && !this.#isClosed && guaranteed > 0) {
			this.#open();
		}
	}

	close(): void {
		this.#isClosed = true;
		this.closeIdle();
		this.#retryTimer?.cancel();
		for (const {settle, expiry} of this.#waiters.splice(0)) {
			expiry.cancel();
			settle(failure('closed'));
		}
	}

	#startHold(connection: PooledConnection): ConnectionLease {
		this.#heldSinceMs.set(connection, this.options.timers.nowMs());
		return new ConnectionLease(connection);
	}

	/** The connection counts as in use until the endpoint has answered. */
	async #resetAndTakeBack(connection: PooledConnection): Promise<void> {
		await connection.run({kind: 'reset'}, resetTimeoutMs);
		if (connection.valueBytes > 0) {
			connection.close();
		}

		this.#takeBack(connection);
	}

	#takeBack(connection: PooledConnection): void {
		this.#endHold(connection);
		if (this.#isClosed || !connection.isReusable || this.#isSurplus()) {
			connection.close();
			this.#openIfNeeded();
			return;
		}

		connection.idleSinceMs = this.options.timers.nowMs();
		this.#idle.push(connection);
		this.#serveWaiters();
	}

	#endHold(connection: PooledConnection): void {
		const sinceMs = this.#heldSinceMs.get(connection);
		this.#heldSinceMs.delete(connection);
		if (sinceMs !== undefined) {
			this.#meanHoldMs += holdTimeWeight * (this.options.timers.nowMs() - sinceMs - this.#meanHoldMs);
		}
	}

	/** Takes the most recently used connection, since the network is least likely to have dropped that one. */
	#takeIdle(): PooledConnection | undefined {
		for (let connection = this.#idle.pop(); connection; connection = this.#idle.pop()) {
			if (connection.isOpen) {
				return connection;
			}
		}

		return undefined;
	}

	/** Whether the waiters ahead, at the mean hold time each, would use up the time that the request has left. */
	#isDeadlineUnreachable({priority, deadlineMs, canExceedShare}: AcquireRequest): boolean {
		if (this.inUseCount === 0) {
			return false;
		}

		if (canExceedShare) {
			return false;
		}

		const ahead = this.#waiters.filter(({request}) => request.priority <= priority).length;
		return (ahead * this.#meanHoldMs) / this.inUseCount > deadlineMs - this.options.timers.nowMs();
	}

	#isSurplus(): boolean {
		return this.#waiters.length === 0 && this.totalCount > this.options.share().maxConnections;
	}

	#canOpen(): boolean {
		const {guaranteed, maxConnections} = this.options.share();
		const isControlWaiting = this.#waiters.some(({request}) => request.canExceedShare);
		const allowed = isControlWaiting ? guaranteed + controlConnections : guaranteed;
		return this.totalCount < allowed || this.#hasSpareConnection(maxConnections);
	}

	/** Whether the latest report shows that the other hosts leave connections unused; false if there is no recent one. */
	#hasSpareConnection(maxConnections: number): boolean {
		return this.#lastReport !== undefined
			&& this.options.timers.nowMs() - this.#lastReport.atMs < reportMaxAgeMs
			&& this.#lastReport.connections + this.#opening + reservedConnections < maxConnections;
	}

	#openIfNeeded(): void {
		// After a failed attempt only one is made at a time, so that the endpoint is not flooded when it is back.
		const maxOpening = this.#hasLastAttemptFailed ? 1 : this.#waiters.length;
		if (this.#isClosed || this.#waiters.length === 0 || this.#opening >= maxOpening || !this.#canOpen()) {
			return;
		}

		const waitMs = this.#retryAtMs - this.options.timers.nowMs();
		if (waitMs <= 0) {
			this.#open();
			return;
		}

		this.#retryTimer?.cancel();
		this.#retryTimer = this.options.timers.after(waitMs, () => {
			this.#openIfNeeded();
		});
	}

	#open(): void {
		this.#opening += 1;
		void this.#connect();
	}

	async #connect(): Promise<void> {
		const {endpoint, connector, timers, onConnectAttempt} = this.options;
		const startedMs = timers.nowMs();
		const result = await connector.connect(endpoint, connectTimeoutMs);
		this.#opening -= 1;
		onConnectAttempt?.(result.isErr() ? result.error : undefined, timers.nowMs() - startedMs);
		this.#hasLastAttemptFailed = result.isErr();
		if (result.isErr()) {
			this.#retryAtMs = timers.nowMs() + connectBackoffMs;
			this.#onConnectFailed();
			return;
		}

		if (this.#isClosed) {
			result.value.close();
			return;
		}

		if (this.#lastReport) {
			this.#lastReport.connections += 1;
		}

		const connection = new PooledConnection(result.value);
		connection.idleSinceMs = timers.nowMs();
		result.value.onClose(() => {
			const index = this.#idle.indexOf(connection);
			if (index !== -1) {
				this.#idle.splice(index, 1);
			}
		});
		this.#idle.push(connection);
		this.#serveWaiters();
	}

	/** If no connection is in use, none will be released, so all waiters fail at once. */
	#onConnectFailed(): void {
		if (this.inUseCount > 0 || this.#opening > 0) {
			this.#openIfNeeded();
			return;
		}

		for (const {settle, expiry} of this.#waiters.splice(0)) {
			expiry.cancel();
			settle(failure('unreachable'));
		}
	}

	#serveWaiters(): void {
		while (this.#waiters.length > 0) {
			const connection = this.#takeIdle();
			if (!connection) {
				break;
			}

			const waiter = this.#waiters.shift()!;
			waiter.expiry.cancel();
			waiter.settle(ok(this.#startHold(connection)));
		}

		this.#openIfNeeded();
	}
}
