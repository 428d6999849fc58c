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
import {finalRefusal, refusal} from '../domain/refusals.js';
import {ServiceTimes} from '../domain/service-times.js';
import {SlotAllocation, type RunningCounts} from '../domain/slot-allocation.js';
import {WorkClassifier} from '../domain/work-classifier.js';
import {WaitingWork} from './waiting-work.js';

export type FairAdmissionOptions = {
	timers: TimerService;
	limits: AdmissionLimits;
	random: RandomSource;
	classifier?: WorkClassifier;
};

/**
 * Share of the requests that run although their expected service time is over their deadline, since
 * an estimate that became too high is only corrected by further runs.
 */
const probeShare = 0.05;
/**
 * Factor on the expected wait before a request is queued. The wait varies with what arrives later;
 * at five times the capacity up to 4 % of the refusals came only near the deadline without a margin, and
 * over 1 % with 1.25 (2 slots, 50 callers, one of four seeds).
 */
const waitMargin = 1.5;
/** Retry time base while paused, in ms: a tenth of the bound for a primary change at today's sizes. */
const pausedRetryMs = 300;
/** With one slot, long work is served at the latest after this many other requests. */
const maxLongPassedOver = 4;

/** Admission with work classes, fairness between callers and a queue that knows deadlines. */
export class FairAdmission implements ObservableAdmission {
	readonly #classifier: WorkClassifier;
	readonly #slots: SlotAllocation;
	readonly #assignment: ClassAssignment;
	readonly #waiting: WaitingWork;
	readonly #times = new ServiceTimes();
	readonly #statistics = new AdmissionStatistics();
	readonly #running: RunningCounts = {long: 0, other: 0};
	#state: 'open' | 'paused' | 'closed' = 'open';
	#ramp: TimerSubscription | undefined;
	#longPassedOver = 0;

	constructor(private readonly options: FairAdmissionOptions) {
		this.#classifier = options.classifier ?? new WorkClassifier();
		this.#slots = new SlotAllocation(options.limits);
		this.#assignment = new ClassAssignment(this.#classifier);
		this.#waiting = new WaitingWork({
			timers: options.timers,
			statistics: this.#statistics,
			maxLength: this.#slots.limits.queueLength,
			refuse: (workClass, kind) => this.#refuse(workClass, kind),
			expiryKind: () => this.#state === 'paused' ? 'paused' : 'deadline-cannot-be-met',
		});
	}

	get queued(): number {
		return this.#waiting.queues.length;
	}

	get running(): number {
		return this.#running.long + this.#running.other;
	}

	async admit(request: AdmissionRequest): Promise<Result<Permit, Refusal>> {
		const nowMs = this.options.timers.nowMs();
		const workClass = this.#assignment.classOf(request);
		if (Number.isNaN(request.deadlineMs)) {
			return this.#refuseFinally(workClass, 'invalid-request');
		}

		if (request.deadlineMs <= nowMs) {
			return this.#refuseFinally(workClass, 'deadline-cannot-be-met');
		}

		const estimateMs = this.#estimateMs(request, workClass);
		if (this.#canStartNow(workClass, nowMs)) {
			return this.#isHopeless(workClass, estimateMs, request.deadlineMs - nowMs)
				? this.#refuse(workClass, 'deadline-cannot-be-met')
				: ok(this.#start(request, workClass, nowMs, nowMs));
		}

		return this.#enqueue(request, workClass, estimateMs, nowMs);
	}

	setLimits(limits: AdmissionLimits): void {
		this.#slots.setLimits(limits);
		this.#waiting.queues.maxLength = this.#slots.limits.queueLength;
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
			this.#followRamp(rampMs / this.#slots.limits.slots, rampMs);
		}
	}

	close(): void {
		this.#state = 'closed';
		this.#ramp?.cancel();
		this.#waiting.dropAll('paused');
	}

	stats(): AdmissionStats {
		return this.#statistics.snapshot(this.#slots.currentLimit(this.options.timers.nowMs()));
	}

	#canStartNow(workClass: WorkClass, nowMs: number): boolean {
		if (this.#state !== 'open') {
			return false;
		}

		return workClass === 'long'
			? this.#waiting.queues.of('long').length === 0 && this.#slots.canStartLong(this.#running, nowMs)
			: this.#waiting.queues.otherLength === 0 && this.#slots.canStartOther(this.#running, nowMs);
	}

	/** Whether the work would not finish in time; an idle pool and a small share of probes try anyway. */
	#isHopeless(workClass: WorkClass, neededMs: number, leftMs: number): boolean {
		const idle = (workClass === 'long' ? this.#running.long : this.#running.other) === 0;
		return neededMs > leftMs && !idle && this.options.random() >= probeShare;
	}

	async #enqueue(request: AdmissionRequest, workClass: WorkClass, estimateMs: number, nowMs: number): Promise<Result<Permit, Refusal>> {
		if (this.#state === 'closed') {
			return this.#refuse(workClass, 'paused');
		}

		const waitMs = this.#waitsRegardless(request, workClass)
			? 0
			: this.#waitMs(workClass, this.#waiting.queues.ahead(workClass, request.callerId), nowMs);
		if ((waitMs * waitMargin) + this.#neededMs(request, estimateMs, nowMs) > request.deadlineMs - nowMs) {
			return this.#refuse(workClass, 'deadline-cannot-be-met');
		}

		return this.#waiting.add(request, workClass, estimateMs)
			?? this.#refuse(workClass, this.#state === 'paused' ? 'paused' : 'overloaded');
	}

	/**
	 * Whether the expected wait does not matter: nothing tells how long a pause takes; and a statement
	 * that is not known yet gets its first runs although long work may have made the wait look hopeless.
	 */
	#waitsRegardless({statementName, callerId}: AdmissionRequest, workClass: WorkClass): boolean {
		return this.#state === 'paused'
			|| (!this.#classifier.isProven(statementName) && this.#waiting.queues.of(workClass).callerLength(callerId) === 0);
	}

	/** Expected service time; an unknown statement is taken as short unless it is stated long. */
	#estimateMs({statementName}: AdmissionRequest, workClass: WorkClass): number {
		return this.#classifier.estimateMs(statementName) ?? (workClass === 'long' ? this.#times.meanMs('long') : 0);
	}

	/** Expected time until `ahead` requests and one that runs have given their slots back. */
	#waitMs(workClass: WorkClass, ahead: number, nowMs: number): number {
		const slots = workClass === 'long'
			? this.#slots.longCap(nowMs)
			: this.#slots.otherSlots(nowMs, this.#running.long + this.#waiting.queues.of('long').length);
		return ((ahead + 1) * this.#times.meanMs(workClass)) / slots;
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
		const longWaits = this.#waiting.queues.of('long').length > 0 && this.#slots.canStartLong(this.#running, nowMs);
		const otherWaits = this.#waiting.queues.otherLength > 0 && this.#slots.canStartOther(this.#running, nowMs);
		// With one slot both pools share it; otherwise long work cannot take more than its own slots.
		const otherFirst = otherWaits && this.#slots.limits.slots === 1 && this.#longPassedOver < maxLongPassedOver;
		if (longWaits && !otherFirst) {
			this.#longPassedOver = 0;
			return this.#waiting.takeLong(this.#times.meanMs('long'));
		}

		this.#longPassedOver += longWaits ? 1 : 0;
		return otherWaits ? this.#waiting.takeOther(this.#times.meanMs('short')) : undefined;
	}

	#startQueued(work: QueuedWork, nowMs: number): void {
		const {request, queuedAtMs} = work;
		const workClass = this.#assignment.classOf(request);
		if (workClass !== work.workClass) {
			this.#waiting.putBack(work, workClass);
			return;
		}

		if (this.#isHopeless(workClass, this.#neededMs(request, work.estimateMs, queuedAtMs), request.deadlineMs - nowMs)) {
			this.#waiting.settleRefused(work, 'deadline-cannot-be-met');
			return;
		}

		work.expiry?.cancel();
		work.settle(ok(this.#start(request, workClass, queuedAtMs, nowMs)));
	}

	/** Cautious service time, but at most half of the whole time that the caller gave, or the mean. */
	#neededMs({statementName, deadlineMs}: AdmissionRequest, estimateMs: number, arrivedMs: number): number {
		const meanMs = this.#classifier.estimateMs(statementName) ?? estimateMs;
		const cautiousMs = this.#classifier.cautiousEstimateMs(statementName) ?? estimateMs;
		return Math.max(meanMs, Math.min(cautiousMs, (deadlineMs - arrivedMs) / 2));
	}

	#start(request: AdmissionRequest, workClass: WorkClass, queuedAtMs: number, nowMs: number): Permit {
		const pool = workClass === 'long' ? 'long' : 'other';
		this.#running[pool] += 1;
		this.#assignment.onStart(request, workClass);
		this.#statistics.onAdmitted(workClass, nowMs - queuedAtMs);
		let released = false;
		return {
			workClass,
			queuedMs: nowMs - queuedAtMs,
			release: result => {
				if (!released) {
					released = true;
					this.#running[pool] -= 1;
					this.#onRelease(request, workClass, result, nowMs);
				}
			},
		};
	}

	#onRelease(request: AdmissionRequest, workClass: WorkClass, result: WorkResult, startedMs: number): void {
		const nowMs = this.options.timers.nowMs();
		this.#statistics.of(workClass).running -= 1;
		// Runs of unknown statements say nothing of the usual ones.
		if (result === 'completed' && (request.workClass !== undefined || this.#classifier.isProven(request.statementName))) {
			this.#times.observe(workClass, nowMs - startedMs);
		}

		if (this.#assignment.onEnd(request, workClass, result === 'completed' ? nowMs - startedMs : undefined)) {
			this.#waiting.reassign(request.statementName, waiting => this.#assignment.classOf(waiting));
		}

		// Long statements vary too much to say something of the instance.
		if (workClass !== 'long') {
			const {slowdown, usualMs} = this.#classifier;
			this.#slots.onRelease({
				result, slowdown, usualMs, nowMs,
			});
		}

		this.#dispatch();
	}

	/** Lets queued work in at each step of the ramp, also when nothing is released. */
	#followRamp(stepMs: number, leftMs: number): void {
		this.#ramp = this.options.timers.after(stepMs, () => {
			this.#dispatch();
			if (leftMs > 0) {
				this.#followRamp(stepMs, leftMs - stepMs);
			}
		});
	}

	#refuse(workClass: WorkClass, kind: RefusalKind): Result<Permit, Refusal> {
		this.#statistics.onRefused(workClass, kind);
		const drainMs = kind === 'paused'
			? pausedRetryMs
			: this.#waitMs(workClass, workClass === 'long' ? this.#waiting.queues.of('long').length : this.#waiting.queues.otherLength, this.options.timers.nowMs());
		return err(refusal(kind, drainMs, this.options.random));
	}

	#refuseFinally(workClass: WorkClass, kind: RefusalKind): Result<Permit, Refusal> {
		this.#statistics.onRefused(workClass, kind);
		return err(finalRefusal(kind));
	}
}
