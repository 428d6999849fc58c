import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type Endpoint} from '../catalog/index.js';
import {type ConnectError, type EndpointConnector} from '../endpoint/index.js';
import {
	type AcquireError, type AcquireErrorKind, type AcquireRequest, type ConnectionShare,
} from './definitions.js';
import {PooledConnection} from './pooled-connection.js';

export type ConnectionPoolOptions = {
	endpoint: Endpoint;
	connector: EndpointConnector;
	timers: TimerService;
	share: () => ConnectionShare;
	/** Told of each attempt to connect that ended; `error` is absent after a success. */
	onConnect?: (error: ConnectError | undefined, durationMs: number) => void;
};

type Waiter = {
	request: AcquireRequest;
	settle: (result: Result<PooledConnection, AcquireError>) => void;
	expiry: TimerSubscription;
};

/** Longest time for opening a connection, in ms; an endpoint takes about 12 ms, queued behind its statements. */
const connectTimeoutMs = 1000;
/** Pause after a failed attempt to connect, in ms, so that a dead endpoint is not flooded. */
const connectBackoffMs = 150;
/** A report of the connections in use says little after this time, in ms. */
const reportFreshMs = 5000;
/** Connections of the endpoint that are left for hosts that have just started. */
const reservedConnections = 4;
/** Connections beyond the share that control commands may open when all others are in use. */
const controlConnections = 1;
/** Connections beyond the guaranteed share are closed after this time without use, in ms. */
const surplusIdleMs = 2000;
/** Weight of the newest sample in the moving average of the time that a connection is held. */
const holdTimeWeight = 0.1;
/** First guess of the time that a connection is held, in ms. */
const initialHoldMs = 20;

const messages: Record<AcquireErrorKind, string> = {
	unreachable: 'No connection to the endpoint can be opened; another endpoint may serve the statement.',
	overloaded: 'All connections are in use for longer than the statement may wait; repeat it later.',
	closed: 'The endpoint is no longer used; choose another one.',
};

const failure = (kind: AcquireErrorKind) => err<PooledConnection, AcquireError>({kind, message: messages[kind]});

/** Connections of this host to one endpoint, handed out by priority, then in order of arrival. */
export class ConnectionPool {
	readonly #idle: PooledConnection[] = [];
	readonly #waiting: Waiter[] = [];
	readonly #heldSinceMs = new Map<PooledConnection, number>();
	#opening = 0;
	#closed = false;
	#lastAttemptFailed = false;
	#retryAtMs = Number.NEGATIVE_INFINITY;
	#retry: TimerSubscription | undefined;
	#meanHoldMs = initialHoldMs;
	/** Connections of all hosts, as the endpoint last reported, and those opened here since. */
	#reported: {connections: number; atMs: number} | undefined;

	constructor(private readonly options: ConnectionPoolOptions) {}

	get inUse(): number {
		return this.#heldSinceMs.size;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	get total(): number {
		return this.#idle.length + this.inUse + this.#opening;
	}

	noteReportedConnections(connections: number): void {
		this.#reported = {connections, atMs: this.options.timers.nowMs()};
	}

	async acquire(request: AcquireRequest): Promise<Result<PooledConnection, AcquireError>> {
		if (this.#closed) {
			return failure('closed');
		}

		const idle = this.#takeIdle();
		if (idle) {
			return ok(this.#hold(idle));
		}

		if (this.#isHopeless(request)) {
			return failure('overloaded');
		}

		return new Promise(resolve => {
			const expiry = this.options.timers.after(Math.max(0, request.deadlineMs - this.options.timers.nowMs()), () => {
				this.#waiting.splice(this.#waiting.indexOf(waiter), 1);
				resolve(failure('overloaded'));
			});
			const waiter: Waiter = {request, settle: resolve, expiry};
			const before = this.#waiting.findIndex(other => other.request.priority > request.priority);
			this.#waiting.splice(before === -1 ? this.#waiting.length : before, 0, waiter);
			this.#openIfNeeded();
		});
	}

	/** Gives a connection back whose transaction has ended. */
	release(connection: PooledConnection): void {
		this.#endHold(connection);
		if (this.#closed || !connection.isOpen || this.#isSurplus()) {
			connection.close();
			this.#openIfNeeded();
			return;
		}

		connection.idleSinceMs = this.options.timers.nowMs();
		this.#idle.push(connection);
		this.#serveWaiting();
	}

	/** Closes a connection whose state is unknown. */
	discard(connection: PooledConnection): void {
		this.#endHold(connection);
		connection.close();
		this.#openIfNeeded();
	}

	/** Closes idle connections, e.g. when one that was in use fell silent; the others may be silent as well. */
	closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.close();
		}
	}

	/** Closes what is idle beyond the share, and keeps one connection open. */
	maintain(): void {
		const nowMs = this.options.timers.nowMs();
		const {guaranteed} = this.options.share();
		const surplus = this.#idle.filter(({idleSinceMs}) => nowMs - idleSinceMs > surplusIdleMs).slice(0, Math.max(0, this.total - guaranteed));
		for (const connection of surplus) {
			this.#idle.splice(this.#idle.indexOf(connection), 1);
			connection.close();
		}

		if (this.total === 0 && !this.#closed && guaranteed > 0) {
			this.#open();
		}
	}

	close(): void {
		this.#closed = true;
		this.closeIdle();
		this.#retry?.cancel();
		for (const {settle, expiry} of this.#waiting.splice(0)) {
			expiry.cancel();
			settle(failure('closed'));
		}
	}

	#hold(connection: PooledConnection): PooledConnection {
		this.#heldSinceMs.set(connection, this.options.timers.nowMs());
		return connection;
	}

	#endHold(connection: PooledConnection): void {
		const sinceMs = this.#heldSinceMs.get(connection);
		this.#heldSinceMs.delete(connection);
		if (sinceMs !== undefined) {
			this.#meanHoldMs += holdTimeWeight * (this.options.timers.nowMs() - sinceMs - this.#meanHoldMs);
		}
	}

	/** The most recently used connection is the least likely to have been dropped on the way. */
	#takeIdle(): PooledConnection | undefined {
		for (let connection = this.#idle.pop(); connection; connection = this.#idle.pop()) {
			if (connection.isOpen) {
				return connection;
			}
		}

		return undefined;
	}

	/** Whether the waiters ahead, each for the mean time, use up the time that the request has. */
	#isHopeless({priority, deadlineMs, mayExceedShare}: AcquireRequest): boolean {
		if (this.inUse === 0) {
			return false;
		}

		if (mayExceedShare) {
			return false;
		}

		const ahead = this.#waiting.filter(({request}) => request.priority <= priority).length;
		return (ahead * this.#meanHoldMs) / this.inUse > deadlineMs - this.options.timers.nowMs();
	}

	#isSurplus(): boolean {
		return this.#waiting.length === 0 && this.total > this.options.share().maxConnections;
	}

	#mayOpen(): boolean {
		const {guaranteed, maxConnections} = this.options.share();
		const isControlWaiting = this.#waiting.some(({request}) => request.mayExceedShare);
		const allowed = isControlWaiting ? guaranteed + controlConnections : guaranteed;
		return this.total < allowed || this.#hasSpare(maxConnections);
	}

	/** Whether the other hosts leave connections unused, as far as that is known. */
	#hasSpare(maxConnections: number): boolean {
		return this.#reported !== undefined
			&& this.options.timers.nowMs() - this.#reported.atMs < reportFreshMs
			&& this.#reported.connections + this.#opening + reservedConnections < maxConnections;
	}

	#openIfNeeded(): void {
		// An endpoint that did not answer gets one attempt at a time, so that it is not flooded when it is back.
		const maxOpening = this.#lastAttemptFailed ? 1 : this.#waiting.length;
		if (this.#closed || this.#waiting.length === 0 || this.#opening >= maxOpening || !this.#mayOpen()) {
			return;
		}

		const waitMs = this.#retryAtMs - this.options.timers.nowMs();
		if (waitMs <= 0) {
			this.#open();
			return;
		}

		this.#retry?.cancel();
		this.#retry = this.options.timers.after(waitMs, () => {
			this.#openIfNeeded();
		});
	}

	#open(): void {
		this.#opening += 1;
		void this.#connect();
	}

	async #connect(): Promise<void> {
		const {endpoint, connector, timers, onConnect} = this.options;
		const startedMs = timers.nowMs();
		const result = await connector.connect(endpoint, connectTimeoutMs);
		this.#opening -= 1;
		onConnect?.(result.isErr() ? result.error : undefined, timers.nowMs() - startedMs);
		this.#lastAttemptFailed = result.isErr();
		if (result.isErr()) {
			this.#retryAtMs = timers.nowMs() + connectBackoffMs;
			this.#onConnectFailed();
			return;
		}

		if (this.#closed) {
			result.value.close();
			return;
		}

		if (this.#reported) {
			this.#reported.connections += 1;
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
		this.#serveWaiting();
	}

	/** Without a connection in use nothing will come free: whoever waits is told at once. */
	#onConnectFailed(): void {
		if (this.inUse > 0 || this.#opening > 0) {
			this.#openIfNeeded();
			return;
		}

		for (const {settle, expiry} of this.#waiting.splice(0)) {
			expiry.cancel();
			settle(failure('unreachable'));
		}
	}

	#serveWaiting(): void {
		while (this.#waiting.length > 0) {
			const connection = this.#takeIdle();
			if (!connection) {
				break;
			}

			const waiter = this.#waiting.shift()!;
			waiter.expiry.cancel();
			waiter.settle(ok(this.#hold(connection)));
		}

		this.#openIfNeeded();
	}
}
