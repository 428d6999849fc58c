import {
	comparePositions, type LogPosition, type TimerService, zeroPosition,
} from '@dogwoodthread/coordination';
import {type Endpoint} from '../catalog/index.js';
import {type EndpointCommand, type EndpointConnector, type EndpointStatus} from '../endpoint/index.js';
import {type ConnectionPool} from '../pool/index.js';

export type MemberOptions = {
	endpoint: Endpoint;
	pool: ConnectionPool;
	connector: EndpointConnector;
	timers: TimerService;
};

export type ControlCommand = Extract<EndpointCommand, {kind: 'status' | 'fence' | 'resume' | 'step-down'}>;

/** Ahead of all statements, because the known state of the group depends on control commands. */
const controlPriority = -1;
/** Weight of the newest sample in the exponential moving average of the latency. */
const latencySmoothingFactor = 0.1;
const initialLatencyMs = 20;

/** One instance of a group and its state as last reported to this host. Times are monotonic, in ms. */
export class Member {
	endpoint: Endpoint;
	status: EndpointStatus | undefined;
	/** When the status request that led to `status` was sent. */
	statusRequestedAtMs = Number.NEGATIVE_INFINITY;
	/** Position of the newest answer; the member had applied its log up to it. */
	applied: LogPosition = zeroPosition;
	appliedAtMs = Number.NEGATIVE_INFINITY;
	latencyMs = initialLatencyMs;
	/** When a status last showed that its log had grown. */
	receivedAdvancedAtMs = Number.NEGATIVE_INFINITY;
	/** Since when its entry has been missing from the catalog; undefined while it is listed. */
	missingSinceMs: number | undefined;
	/** When the latest status request was sent. */
	lastPollAtMs = Number.NEGATIVE_INFINITY;
	isPolling = false;
	/** Whether its log has become shorter within a term: it has restarted without its log, and its entry does not show it yet. */
	hasLostLog = false;
	/** Send times of writes and commits that are not answered yet. */
	readonly pendingWrites = new Set<{sentAtMs: number}>();
	/** Reads avoid the member until this time after it failed a read. */
	avoidedUntilMs = Number.NEGATIVE_INFINITY;
	#drainingAfterMs: number | undefined;
	#failingSinceMs: number | undefined;
	#confirmedSentAtMs = Number.NEGATIVE_INFINITY;
	#unconfirmedSinceMs: number | undefined;
	#lastAnswerAtMs = Number.NEGATIVE_INFINITY;
	#statusReceivedAtMs = Number.NEGATIVE_INFINITY;
	/** When the latest request was made that did not reach it or was not answered. */
	#lastFailedRequestAtMs = Number.NEGATIVE_INFINITY;
	/** Send times of the requests that are not answered yet. */
	readonly #pendingRequests = new Set<{sentAtMs: number}>();

	constructor(private readonly options: MemberOptions) {
		this.endpoint = options.endpoint;
	}

	get id(): string {
		return this.endpoint.endpointId;
	}

	/** Name of this life of the instance: `id@start time`. One that restarts under its id may have lost its log. */
	get incarnation(): string {
		return `${this.id}@${this.endpoint.startedUnixMs}`;
	}

	get pool(): ConnectionPool {
		return this.options.pool;
	}

	get lastAnswerAtMs(): number {
		return this.#lastAnswerAtMs;
	}

	/** Records the state of the endpoint's catalog entry, which it entered at some time after `changedAfterMs`. */
	recordEndpointState(changedAfterMs: number): void {
		this.#drainingAfterMs = this.endpoint.state === 'ready' ? undefined : this.#drainingAfterMs ?? changedAfterMs;
	}

	/** Upper bound of the time since its draining was acknowledged, in ms; 0 if it is not draining. */
	drainingForMs(nowMs: number): number {
		return this.#drainingAfterMs === undefined ? 0 : nowMs - this.#drainingAfterMs;
	}

	/** How long every request to it has failed, in ms; 0 if the last one was answered. */
	failingForMs(nowMs: number): number {
		return this.#failingSinceMs === undefined ? 0 : nowMs - this.#failingSinceMs;
	}

	/**
	 * How long writes have gone unconfirmed, in ms. Writes sent before a confirmed one do not count: the confirmation
	 * shows that only single answers were lost.
	 */
	stalledForMs(nowMs: number): number {
		const pendingSentAtMs = [...this.pendingWrites].map(write => write.sentAtMs).filter(sentMs => sentMs > this.#confirmedSentAtMs);
		const unconfirmedSinceMs = Math.min(...pendingSentAtMs, this.#unconfirmedSinceMs ?? Number.POSITIVE_INFINITY);
		return Number.isFinite(unconfirmedSinceMs) ? nowMs - unconfirmedSinceMs : 0;
	}

	recordWriteConfirmed(sentAtMs: number): void {
		this.#confirmedSentAtMs = Math.max(this.#confirmedSentAtMs, sentAtMs);
		if (this.#unconfirmedSinceMs !== undefined && this.#unconfirmedSinceMs <= sentAtMs) {
			this.#unconfirmedSinceMs = undefined;
		}
	}

	/** Records a write that ended without an answer. */
	recordWriteUnconfirmed(sentAtMs: number): void {
		if (sentAtMs > this.#confirmedSentAtMs) {
			this.#unconfirmedSinceMs = Math.min(sentAtMs, this.#unconfirmedSinceMs ?? sentAtMs);
		}
	}

	recordAnswer(position?: LogPosition): void {
		this.#lastAnswerAtMs = this.options.timers.nowMs();
		this.#failingSinceMs = undefined;
		if (position) {
			// A promotion may roll a replica back, so the newest position is kept and not the highest one.
			this.applied = position;
			this.appliedAtMs = this.#lastAnswerAtMs;
		}
	}

	/** Records that a request made at `requestedAtMs` was not answered. */
	recordFailure(requestedAtMs: number, isUnreachable = true): void {
		if (isUnreachable) {
			this.#lastFailedRequestAtMs = Math.max(this.#lastFailedRequestAtMs, requestedAtMs);
		}

		if (this.#lastAnswerAtMs < requestedAtMs) {
			this.#failingSinceMs ??= requestedAtMs;
		}
	}

	/** Records that a request is on its way to the member; call the returned function at its end. */
	trackRequest(): () => void {
		const request = {sentAtMs: this.options.timers.nowMs()};
		this.#pendingRequests.add(request);
		return () => {
			this.#pendingRequests.delete(request);
		};
	}

	/** How long the member has answered nothing although requests are pending, in ms. */
	silentForMs(nowMs: number): number {
		const [oldest] = this.#pendingRequests;
		return oldest ? nowMs - Math.max(oldest.sentAtMs, this.#lastAnswerAtMs) : 0;
	}

	/** Whether a request that was made after `atMs` has failed and none has been answered since. */
	hasFailedSince(atMs: number): boolean {
		return this.#lastFailedRequestAtMs >= atMs && this.#lastAnswerAtMs < this.#lastFailedRequestAtMs;
	}

	recordLatency(durationMs: number): void {
		this.latencyMs += latencySmoothingFactor * (durationMs - this.latencyMs);
	}

	recordStatus(status: EndpointStatus, requestedAtMs: number): void {
		if (requestedAtMs < this.statusRequestedAtMs) {
			return;
		}

		// Answers may overtake one another; only a request that was sent after the last answer shows a later log.
		this.hasLostLog ||= requestedAtMs >= this.#statusReceivedAtMs && this.status?.term === status.term && comparePositions(status.received, this.status.received) < 0;
		this.#statusReceivedAtMs = this.options.timers.nowMs();
		if (!this.status || comparePositions(status.received, this.status.received) > 0) {
			this.receivedAdvancedAtMs = this.options.timers.nowMs();
		}

		this.status = status;
		this.statusRequestedAtMs = requestedAtMs;
		this.pool.recordReportedConnections(status.connections);
	}

	hasApplied(position: LogPosition): boolean {
		return comparePositions(this.applied, position) >= 0;
	}

	/**
	 * Sends a control command and returns the status that answers it, or undefined if there is none. If all connections
	 * are in use, it may open one beyond the share.
	 */
	async sendControlCommand(command: ControlCommand, timeoutMs: number): Promise<EndpointStatus | undefined> {
		const {timers, connector} = this.options;
		const requestedAtMs = timers.nowMs();
		const acquired = await this.pool.acquire({priority: controlPriority, deadlineMs: requestedAtMs + timeoutMs, canExceedShare: true});
		if (acquired.isErr()) {
			this.recordFailure(requestedAtMs, acquired.error.kind === 'unreachable');
			return undefined;
		}

		const connection = acquired.value;
		const sentAtMs = timers.nowMs();
		const endRequest = this.trackRequest();
		const answer = await connection.run(command, timeoutMs);
		endRequest();
		if (answer.isErr()) {
			this.recordFailure(sentAtMs);
			this.pool.discard(connection);
			if (answer.error.kind === 'silent') {
				this.pool.closeIdle();
			}

			return undefined;
		}

		this.pool.release(connection);
		this.recordAnswer(answer.value.position);
		const status = answer.value.error ? undefined : connector.parseStatus(answer.value);
		if (status) {
			this.recordStatus(status, sentAtMs);
		}

		return status;
	}
}
