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

/** Before all statements: what is believed of the group depends on it. */
const controlPriority = -1;
/** Weight of the newest sample in the moving average of the latency. */
const latencyWeight = 0.1;
const initialLatencyMs = 20;

/** One instance of a group and what this host last learnt of it. Times are monotonic, in ms. */
export class Member {
	endpoint: Endpoint;
	status: EndpointStatus | undefined;
	/** When the request that `status` answers was sent. */
	statusAskedAtMs = Number.NEGATIVE_INFINITY;
	/** Position that the log had applied at some time since. */
	applied: LogPosition = zeroPosition;
	appliedAtMs = Number.NEGATIVE_INFINITY;
	latencyMs = initialLatencyMs;
	/** When its log was last seen to have received more. */
	receivedAdvancedAtMs = Number.NEGATIVE_INFINITY;
	/** Set while the entry is missing from the catalog. */
	missingSinceMs: number | undefined;
	/** When the latest status request was sent. */
	lastPollAtMs = Number.NEGATIVE_INFINITY;
	isPolling = false;
	/** Send times of writes and commits that are not answered yet. */
	readonly pendingWrites = new Set<{sentAtMs: number}>();
	/** Reads avoid the member until then, after it failed one. */
	avoidedUntilMs = Number.NEGATIVE_INFINITY;
	#drainingAfterMs: number | undefined;
	#failingSinceMs: number | undefined;
	#confirmedSentAtMs = Number.NEGATIVE_INFINITY;
	#unconfirmedSinceMs: number | undefined;
	#lastAnswerAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: MemberOptions) {
		this.endpoint = options.endpoint;
	}

	get id(): string {
		return this.endpoint.endpointId;
	}

	get pool(): ConnectionPool {
		return this.options.pool;
	}

	get lastAnswerAtMs(): number {
		return this.#lastAnswerAtMs;
	}

	/** Takes the state of the endpoint's entry into account, which it has had since a time after `changedAfterMs`. */
	noteState(changedAfterMs: number): void {
		this.#drainingAfterMs = this.endpoint.state === 'ready' ? undefined : this.#drainingAfterMs ?? changedAfterMs;
	}

	/** How long ago it may have been acknowledged that it leaves, in ms, at most; 0 if it is not leaving. */
	drainingForMs(nowMs: number): number {
		return this.#drainingAfterMs === undefined ? 0 : nowMs - this.#drainingAfterMs;
	}

	/** How long nothing but failures came from it, in ms; 0 if the last attempt was answered. */
	failingForMs(nowMs: number): number {
		return this.#failingSinceMs === undefined ? 0 : nowMs - this.#failingSinceMs;
	}

	/**
	 * How long writes have gone unconfirmed, in ms. A later write that was confirmed shows that only single
	 * answers were lost.
	 */
	stalledForMs(nowMs: number): number {
		const sentAtMs = [...this.pendingWrites].map(write => write.sentAtMs).filter(sentMs => sentMs > this.#confirmedSentAtMs);
		const since = Math.min(...sentAtMs, this.#unconfirmedSinceMs ?? Number.POSITIVE_INFINITY);
		return Number.isFinite(since) ? nowMs - since : 0;
	}

	noteWriteConfirmed(sentAtMs: number): void {
		this.#confirmedSentAtMs = Math.max(this.#confirmedSentAtMs, sentAtMs);
		if (this.#unconfirmedSinceMs !== undefined && this.#unconfirmedSinceMs <= sentAtMs) {
			this.#unconfirmedSinceMs = undefined;
		}
	}

	/** A write ended without an answer. */
	noteWriteUnconfirmed(sentAtMs: number): void {
		if (sentAtMs > this.#confirmedSentAtMs) {
			this.#unconfirmedSinceMs = Math.min(sentAtMs, this.#unconfirmedSinceMs ?? sentAtMs);
		}
	}

	noteAnswer(position?: LogPosition): void {
		this.#lastAnswerAtMs = this.options.timers.nowMs();
		this.#failingSinceMs = undefined;
		if (position) {
			// A promotion may roll a replica back, so the newest answer counts and not the highest one.
			this.applied = position;
			this.appliedAtMs = this.#lastAnswerAtMs;
		}
	}

	/** A request that was sent at `askedAtMs` was not answered. */
	noteFailure(askedAtMs: number): void {
		if (this.#lastAnswerAtMs < askedAtMs) {
			this.#failingSinceMs ??= askedAtMs;
		}
	}

	noteLatency(durationMs: number): void {
		this.latencyMs += latencyWeight * (durationMs - this.latencyMs);
	}

	noteStatus(status: EndpointStatus, askedAtMs: number): void {
		if (askedAtMs < this.statusAskedAtMs) {
			return;
		}

		if (!this.status || comparePositions(status.received, this.status.received) > 0) {
			this.receivedAdvancedAtMs = this.options.timers.nowMs();
		}

		this.status = status;
		this.statusAskedAtMs = askedAtMs;
		this.pool.recordReportedConnections(status.connections);
	}

	hasApplied(position: LogPosition): boolean {
		return comparePositions(this.applied, position) >= 0;
	}

	/** Asks for a status, or gives an order that is answered with one. Uses a further connection if all are in use. */
	async control(command: ControlCommand, timeoutMs: number): Promise<EndpointStatus | undefined> {
		const {timers, connector} = this.options;
		const askedAtMs = timers.nowMs();
		const acquired = await this.pool.acquire({priority: controlPriority, deadlineMs: askedAtMs + timeoutMs, canExceedShare: true});
		if (acquired.isErr()) {
			this.noteFailure(askedAtMs);
			return undefined;
		}

		const connection = acquired.value;
		const sentAtMs = timers.nowMs();
		const answer = await connection.run(command, timeoutMs);
		if (answer.isErr()) {
			this.noteFailure(sentAtMs);
			this.pool.discard(connection);
			if (answer.error.kind === 'silent') {
				this.pool.closeIdle();
			}

			return undefined;
		}

		this.pool.release(connection);
		this.noteAnswer(answer.value.position);
		const status = answer.value.error ? undefined : connector.parseStatus(answer.value);
		if (status) {
			this.noteStatus(status, sentAtMs);
		}

		return status;
	}
}
