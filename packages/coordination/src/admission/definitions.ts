import {type Result} from 'neverthrow';
import {type TypedError} from '../errors/index.js';

/**
 * - `critical`: payments and holds in flight.
 * - `short`: other short work.
 * - `browse`: reads, the first to be refused under load.
 * - `long`: work whose service time is many times that of the rest.
 */
export type WorkClass = 'critical' | 'short' | 'browse' | 'long';

export type AdmissionRequest = {
	callerId: string;
	statementName: string;
	/** Class stated by the caller or the governing document; `undefined` if neither states one. */
	workClass: WorkClass | undefined;
	/** Monotonic time of the `TimerService` at which the caller gives up. */
	deadlineMs: number;
};

/** How the admitted work ended. `timeout` means that the instance did not respond in time. */
export type WorkResult = 'completed' | 'failed' | 'timeout';

/** Permission to run one statement at an instance. */
export type Permit = {
	/** Class under which the work was admitted. */
	readonly workClass: WorkClass;
	/** Time spent in the queue, in ms. */
	readonly queuedMs: number;
	/** Releases the slot. Must be called exactly once. */
	release(result: WorkResult): void;
};

export type RefusalKind = 'overloaded' | 'deadline-cannot-be-met' | 'paused' | 'invalid-request';

/** Result for a request that was not run. */
export type Refusal = TypedError<RefusalKind> & {
	/** Delay before a retry, with jitter, in ms; 0 if retrying the unchanged request cannot succeed. */
	retryAfterMs: number;
};

/** Limits of one instance, from the governing document. */
export type AdmissionLimits = {
	/** Statements that the instance runs at the same time. */
	slots: number;
	/** Maximum number of slots for long work; below `slots` if the instance has two or more. */
	longSlots: number;
	/** Maximum number of queued requests. */
	queueLength: number;
};

/** Decides which request runs next at one instance. */
export type Admission = {
	readonly queued: number;
	readonly running: number;
	/** Resolves with a permit when the request may run, or with a refusal, immediately or after a wait in the queue. */
	admit(request: AdmissionRequest): Promise<Result<Permit, Refusal>>;
	setLimits(limits: AdmissionLimits): void;
	/** Starts no further work, e.g. during a primary change. Queued work stays queued until its deadline. */
	pause(): void;
	/** Starts work again, raising the concurrency limit to its full value over `rampMs`. */
	resume(rampMs: number): void;
	/** Refuses all queued and all later requests. */
	close(): void;
};

/** Counters since process start, and gauges, of one work class. */
export type ClassStats = {
	admitted: number;
	refused: Record<RefusalKind, number>;
	queued: number;
	running: number;
	/** Admitted requests by time in the queue; not cumulative. The bounds are in `AdmissionStats.queueWaitBoundsMs`. */
	queueWaitBuckets: number[];
	queueWaitSumMs: number;
};

/** Snapshot for metrics. */
export type AdmissionStats = {
	/** Current concurrency limit of the instance, in statements. */
	limit: number;
	/** Upper bounds of the buckets in ms; an additional last bucket counts longer waits. */
	queueWaitBoundsMs: readonly number[];
	classes: Record<WorkClass, ClassStats>;
};

/** An admission that reports statistics. */
export type ObservableAdmission = Admission & {
	stats(): AdmissionStats;
};
