import {type Result} from 'neverthrow';
import {type TypedError} from '../errors/index.js';

/**
 * - `critical`: payments and holds in flight.
 * - `short`: other short work.
 * - `browse`: reads that can be refused first.
 * - `long`: work that runs many times longer than the rest.
 */
export type WorkClass = 'critical' | 'short' | 'browse' | 'long';

export type AdmissionRequest = {
	callerId: string;
	statementName: string;
	/** Class that the caller or the governing document states; absent if neither does. */
	workClass: WorkClass | undefined;
	/** Monotonic time of the `TimerService` at which the caller gives up. */
	deadlineMs: number;
};

/** How the admitted work ended. `timeout` means that no answer came in time. */
export type WorkResult = 'completed' | 'failed' | 'timeout';

/** Right to run one statement at an instance. */
export type Permit = {
	/** Class under which the work was admitted. */
	readonly workClass: WorkClass;
	/** Time spent in the queue, in ms. */
	readonly queuedMs: number;
	/** Gives the slot back. Must be called exactly once. */
	release(result: WorkResult): void;
};

export type RefusalKind = 'overloaded' | 'deadline-cannot-be-met' | 'paused' | 'invalid-request';

/** The request did not run. */
export type Refusal = TypedError<RefusalKind> & {
	/** When to come back, with jitter, in ms; 0 if a repeat as it is will not help. */
	retryAfterMs: number;
};

/** Limits of one instance, from the governing document. */
export type AdmissionLimits = {
	/** Statements that the instance runs at the same time. */
	slots: number;
	/** Slots that long work may hold at most; always below `slots`. */
	longSlots: number;
	/** Longest queue, in requests. */
	queueLength: number;
};

/** Decides which request runs next at one instance. */
export type Admission = {
	readonly queued: number;
	readonly running: number;
	/** Resolves when the request may run, or at once or later with the refusal. */
	admit(request: AdmissionRequest): Promise<Result<Permit, Refusal>>;
	setLimits(limits: AdmissionLimits): void;
	/** Holds back new work, e.g. while the primary changes; queued work stays queued until its deadline. */
	pause(): void;
	/** Lets work in again, growing to the full limit over `rampMs`. */
	resume(rampMs: number): void;
	/** Refuses everything that is queued. */
	close(): void;
};

/** Counters since the start and gauges of one work class. */
export type ClassStats = {
	admitted: number;
	refused: Record<RefusalKind, number>;
	queued: number;
	running: number;
	/** Admitted requests by time in the queue; bounds in `AdmissionStats.queueWaitBoundsMs`, not cumulative. */
	queueWaitBuckets: number[];
	queueWaitSumMs: number;
};

/** Snapshot for metrics. */
export type AdmissionStats = {
	/** Statements that the instance is given at the same time at present. */
	limit: number;
	/** Upper bounds in ms; one bucket more holds what is over the last. */
	queueWaitBoundsMs: readonly number[];
	classes: Record<WorkClass, ClassStats>;
};

/** An admission that reports its counters. */
export type ObservableAdmission = Admission & {
	stats(): AdmissionStats;
};
