import {err, ok, type Result} from 'neverthrow';
import {type RandomSource} from '../../random/index.js';
import {type TimerService, type TimerSubscription} from '../../timer/index.js';
import {
	type AdmissionLimits, type AdmissionRequest, type AdmissionStats, type ObservableAdmission, type Permit, type Refusal,
	type RefusalKind, type WorkClass, type WorkResult,
} from '../definitions.js';
import {AdmissionStatistics} from '../domain/admission-statistics.js';
import {ClassAssignment} from '../domain/class-assignment.js';
import {type QueuedWork} from '../domain/queued-work.js';
import {createFinalRefusal, createRefusal} from '../domain/refusals.js';
import {ServiceTimes} from '../domain/service-times.js';
import {SlotAllocation, type RunningCounts} from '../domain/slot-allocation.js';
import {WorkClassifier} from '../domain/work-classifier.js';
import {AdmissionQueue} from './admission-queue.js';

export type FairAdmissionOptions = {
	timers: TimerService;
	limits: AdmissionLimits;
	random: RandomSource;
	classifier?: WorkClassifier;
};

/**
 * Share of the requests that run although their expected service time exceeds the time left until their
 * deadline. Without these probes, an estimate that has become too high would never be corrected.
 */
const probeShare = 0.05;
/**
 * Safety factor on the expected wait when deciding whether to queue a request, because requests that arrive
 * later can prolong the wait. At five times the capacity, up to 4 % of the refusals were sent only near the
 * deadline without a factor, and over 1 % with 1.25 (2 slots, 50 callers, one of four seeds).
 */
const expectedWaitFactor = 1.5;
/** Base of the retry delay while paused, in ms: a tenth of the time bound for a primary change at present deployment sizes. */
const pausedRetryBaseMs = 300;
/** With a single slot, the number of other requests that may start before waiting long work gets the slot. */
const maxLongSkips = 4;

/** Admission with work classes, fair sharing between callers and refusal of requests that would miss their deadline. */
export class FairAdmission implements ObservableAdmission {
	readonly #classifier: WorkClassifier;
	readonly #slots: SlotAllocation;
	readonly #assignment: ClassAssignment;
	readonly #queue: AdmissionQueue;
	readonly #serviceTimes = new ServiceTimes();
	readonly #statistics = new AdmissionStatistics();
	readonly #running: RunningCounts = {long: 0, other: 0};
	#state: 'open' | 'paused' | 'closed' = 'open';
	#ramp: TimerSubscription | undefined;
	#longSkipCount = 0;

	constructor(private readonly options: FairAdmissionOptions) {
		this.#classifier = options.classifier ?? new WorkClassifier();
		this.#slots = new SlotAllocation(options.limits);
		this.#assignment = new ClassAssignment(this.#classifier);
		this.#queue = new AdmissionQueue({
			timers: options.timers,
			statistics: this.#statistics,
			maxLength: this.#slots.limits.queueLength,
			createRefusal: (workClass, kind) => this.#refuse(workClass, kind),
			expiryRefusalKind: () => this.#state === 'paused' ? 'paused' : 'deadline-cannot-be-met',
		});
	}

	get queued(): number {
		return this.#queue.byClass.length;
	}

	get running(): number {
		return this.#running.long + this.#running.other;
	}

	async admit(request: AdmissionRequest): Promise<Result<Permit, Refusal>> {
		const nowMs = this.options.timers.nowMs();
		const workClass = this.#assignment.classOf(request);
		if (Number.isNaN(request.deadlineMs)) {
			return this.#refuseWithoutRetry(workClass, 'invalid-request');
		}

		if (request.deadlineMs <= nowMs) {
			return this.#refuseWithoutRetry(workClass, 'deadline-cannot-be-met');
		}

		const estimateMs = this.#estimateMs(request, workClass);
		if (this.#canStartNow(workClass, nowMs)) {
			return this.#shouldRefuseForDeadline(workClass, estimateMs, request.deadlineMs - nowMs)
				? this.#refuse(workClass, 'deadline-cannot-be-met')
				: ok(this.#start(request, workClass, nowMs, nowMs));
		}

		return this.#enqueue(request, workClass, estimateMs, nowMs);
	}

	setLimits(limits: AdmissionLimits): void {
		this.#slots.setLimits(limits);
		this.#queue.byClass.maxLength = this.#slots.limits.queueLength;
		this.#dispatch();
	}

	pause(): void {
		if (this.#state === 'open') {
			this.#state = 'paused';
			this.#ramp?.cancel();
		}
	}

	resume(rampMs: number): void {
		if (this.#state !== 'paused') {
			return;
		}

		this.#state = 'open';
		this.#slots.startRamp(this.options.timers.nowMs(), rampMs);
		this.#dispatch();
		if (rampMs > 0) {
			this.#scheduleRampStep(rampMs / this.#slots.limits.slots, rampMs);
		}
	}

	close(): void {
		this.#state = 'closed';
		this.#ramp?.cancel();
		this.#queue.refuseAll('paused');
	}

	stats(): AdmissionStats {
		return this.#statistics.snapshot(this.#slots.currentLimit(this.options.timers.nowMs()));
	}

	#canStartNow(workClass: WorkClass, nowMs: number): boolean {
		if (this.#state !== 'open') {
			return false;
		}

		return workClass === 'long'
			? this.#queue.byClass.of('long').length === 0 && this.#slots.canStartLong(this.#running, nowMs)
			: this.#queue.byClass.otherLength === 0 && this.#slots.canStartOther(this.#running, nowMs);
	}

	/** Whether the work would not finish in time. An idle pool and a small share of probes run it anyway. */
	#shouldRefuseForDeadline(workClass: WorkClass, requiredMs: number, remainingMs: number): boolean {
		const idle = (workClass === 'long' ? this.#running.long : this.#running.other) === 0;
		return requiredMs > remainingMs && !idle && this.options.random() >= probeShare;
	}

	async #enqueue(request: AdmissionRequest, workClass: WorkClass, estimateMs: number, nowMs: number): Promise<Result<Permit, Refusal>> {
		if (this.#state === 'closed') {
			return this.#refuse(workClass, 'paused');
		}

		const waitMs = this.#shouldIgnoreExpectedWait(request, workClass)
			? 0
			: this.#expectedWaitMs(workClass, this.#queue.byClass.countAhead(workClass, request.callerId), nowMs);
		if ((waitMs * expectedWaitFactor) + this.#requiredMs(request, estimateMs, nowMs) > request.deadlineMs - nowMs) {
			return this.#refuse(workClass, 'deadline-cannot-be-met');
		}

		return this.#queue.add(request, workClass, estimateMs)
			?? this.#refuse(workClass, this.#state === 'paused' ? 'paused' : 'overloaded');
	}

	/**
	 * Whether the request is queued regardless of the expected wait: the length of a pause is unknown, and a
	 * statement without enough samples must run to be measured even if long work has raised the expected wait.
	 */
	#shouldIgnoreExpectedWait({statementName, callerId}: AdmissionRequest, workClass: WorkClass): boolean {
		return this.#state === 'paused'
			|| (!this.#classifier.isLearned(statementName) && this.#queue.byClass.of(workClass).callerLength(callerId) === 0);
	}

	/** Expected service time. An unknown statement counts as short unless its stated class is `long`. */
	#estimateMs({statementName}: AdmissionRequest, workClass: WorkClass): number {
		return this.#classifier.estimateMs(statementName) ?? (workClass === 'long' ? this.#serviceTimes.meanMs('long') : 0);
	}

	/** Expected time until `ahead` queued requests and one running request have released their slots. */
	#expectedWaitMs(workClass: WorkClass, ahead: number, nowMs: number): number {
		const slots = workClass === 'long'
			? this.#slots.longSlotLimit(nowMs)
			: this.#slots.slotsForOther(nowMs, this.#running.long + this.#queue.byClass.of('long').length);
		return ((ahead + 1) * this.#serviceTimes.meanMs(workClass)) / slots;
	}

	#dispatch(): void {
		const nowMs = this.options.timers.nowMs();
		while (this.#state === 'open') {
			const work = this.#takeNext(nowMs);
			if (!work) {
				return;
			}

			this.#startQueued(work, nowMs);
		}
	}

	#takeNext(nowMs: number): QueuedWork | undefined {
		const canTakeLong = this.#queue.byClass.of('long').length > 0 && this.#slots.canStartLong(this.#running, nowMs);
		const canTakeOther = this.#queue.byClass.otherLength > 0 && this.#slots.canStartOther(this.#running, nowMs);
		// A single slot is shared by both pools. With more slots, long work is limited to its own.
		const shouldTakeOtherFirst = canTakeOther && this.#slots.limits.slots === 1 && this.#longSkipCount < maxLongSkips;
		if (canTakeLong && !shouldTakeOtherFirst) {
			this.#longSkipCount = 0;
			return this.#queue.takeLong(this.#serviceTimes.meanMs('long'));
		}

		this.#longSkipCount += canTakeLong ? 1 : 0;
		return canTakeOther ? this.#queue.takeOther(this.#serviceTimes.meanMs('short')) : undefined;
	}

	#startQueued(work: QueuedWork, nowMs: number): void {
		const {request, queuedAtMs} = work;
		const workClass = this.#assignment.classOf(request);
		if (workClass !== work.workClass) {
			this.#queue.insert(work, workClass);
			return;
		}

		if (this.#shouldRefuseForDeadline(workClass, this.#requiredMs(request, work.estimateMs, queuedAtMs), request.deadlineMs - nowMs)) {
			this.#queue.refuseDequeued(work, 'deadline-cannot-be-met');
			return;
		}

		work.expiry?.cancel();
		work.settle(ok(this.#start(request, workClass, queuedAtMs, nowMs)));
	}

	/**
	 * Time to reserve for the run: the pessimistic estimate, capped at half of the time between arrival and
	 * deadline, but at least the mean.
	 */
	#requiredMs({statementName, deadlineMs}: AdmissionRequest, estimateMs: number, arrivedAtMs: number): number {
		const meanMs = this.#classifier.estimateMs(statementName) ?? estimateMs;
		const pessimisticMs = this.#classifier.pessimisticEstimateMs(statementName) ?? estimateMs;
		return Math.max(meanMs, Math.min(pessimisticMs, (deadlineMs - arrivedAtMs) / 2));
	}

	#start(request: AdmissionRequest, workClass: WorkClass, queuedAtMs: number, nowMs: number): Permit {
		const pool = workClass === 'long' ? 'long' : 'other';
		this.#running[pool] += 1;
		this.#assignment.onStart(request, workClass);
		this.#statistics.onAdmitted(workClass, nowMs - queuedAtMs);
		let isReleased = false;
		return {
			workClass,
			queuedMs: nowMs - queuedAtMs,
			release: result => {
				if (!isReleased) {
					isReleased = true;
					this.#running[pool] -= 1;
					this.#onRelease(request, workClass, result, nowMs);
				}
			},
		};
	}

	#onRelease(request: AdmissionRequest, workClass: WorkClass, result: WorkResult, startedAtMs: number): void {
		const nowMs = this.options.timers.nowMs();
		this.#statistics.of(workClass).running -= 1;
		// Runs of statements without enough samples are not representative of their class.
		if (result === 'completed' && (request.workClass !== undefined || this.#classifier.isLearned(request.statementName))) {
			this.#serviceTimes.observe(workClass, nowMs - startedAtMs);
		}

		if (this.#assignment.onEnd(request, workClass, result === 'completed' ? nowMs - startedAtMs : undefined)) {
			this.#queue.reassign(request.statementName, queued => this.#assignment.classOf(queued));
		}

		// Service times of long statements vary too much to indicate the load of the instance.
		if (workClass !== 'long') {
			const {slowdown, typicalMs} = this.#classifier;
			this.#slots.onRelease({
				result, slowdown, typicalMs, nowMs,
			});
		}

		this.#dispatch();
	}

	/** Starts queued work at each step of the ramp, even if no running work releases its slot. */
	#scheduleRampStep(stepMs: number, remainingMs: number): void {
		this.#ramp = this.options.timers.after(stepMs, () => {
			this.#dispatch();
			if (remainingMs > 0) {
				this.#scheduleRampStep(stepMs, remainingMs - stepMs);
			}
		});
	}

	#refuse(workClass: WorkClass, kind: RefusalKind): Result<Permit, Refusal> {
		this.#statistics.onRefused(workClass, kind);
		const drainMs = kind === 'paused'
			? pausedRetryBaseMs
			: this.#expectedWaitMs(workClass, workClass === 'long' ? this.#queue.byClass.of('long').length : this.#queue.byClass.otherLength, this.options.timers.nowMs());
		return err(createRefusal(kind, drainMs, this.options.random));
	}

	#refuseWithoutRetry(workClass: WorkClass, kind: RefusalKind): Result<Permit, Refusal> {
		this.#statistics.onRefused(workClass, kind);
		return err(createFinalRefusal(kind));
	}
}
