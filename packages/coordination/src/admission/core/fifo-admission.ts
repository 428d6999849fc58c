import {err, ok, type Result} from 'neverthrow';
import {type RandomSource} from '../../random/index.js';
import {type TimerService} from '../../timer/index.js';
import {
	type AdmissionLimits, type AdmissionRequest, type AdmissionStats, type ObservableAdmission, type Permit, type Refusal,
	type RefusalKind, type WorkClass,
} from '../definitions.js';
import {AdmissionStatistics} from '../domain/admission-statistics.js';
import {expireAt} from '../domain/expiry.js';
import {type QueuedWork} from '../domain/queued-work.js';
import {createFinalRefusal, createRefusal} from '../domain/refusals.js';
import {ServiceTimes} from '../domain/service-times.js';
import {normalizeLimits} from '../domain/slot-allocation.js';

export type FifoAdmissionOptions = {
	timers: TimerService;
	limits: AdmissionLimits;
	random: RandomSource;
};

/** Base of the retry delay while paused, in ms. */
const pausedRetryBaseMs = 300;

/**
 * Baseline for comparisons: a single first-in-first-out queue without work classes. Refuses a request only
 * if the queue is full, admission is closed, or the deadline has passed.
 */
export class FifoAdmission implements ObservableAdmission {
	readonly #queue = new Set<QueuedWork>();
	readonly #statistics = new AdmissionStatistics();
	readonly #serviceTimes = new ServiceTimes();
	#limits: AdmissionLimits;
	#running = 0;
	#state: 'open' | 'paused' | 'closed' = 'open';

	constructor(private readonly options: FifoAdmissionOptions) {
		this.#limits = normalizeLimits(options.limits);
	}

	get queued(): number {
		return this.#queue.size;
	}

	get running(): number {
		return this.#running;
	}

	async admit(request: AdmissionRequest): Promise<Result<Permit, Refusal>> {
		const nowMs = this.options.timers.nowMs();
		const workClass = request.workClass ?? 'short';
		if (Number.isNaN(request.deadlineMs) || request.deadlineMs <= nowMs) {
			const kind = Number.isNaN(request.deadlineMs) ? 'invalid-request' : 'deadline-cannot-be-met';
			this.#statistics.onRefused(workClass, kind);
			return err(createFinalRefusal(kind));
		}

		if (this.#state === 'open' && this.#queue.size === 0 && this.#running < this.#limits.slots) {
			return ok(this.#start(workClass, nowMs, nowMs));
		}

		if (this.#state === 'closed') {
			return this.#refuse(workClass, 'paused');
		}

		return this.#queue.size >= this.#limits.queueLength
			? this.#refuse(workClass, this.#state === 'paused' ? 'paused' : 'overloaded')
			: this.#enqueue(request, workClass, nowMs);
	}

	setLimits(limits: AdmissionLimits): void {
		this.#limits = normalizeLimits(limits);
		this.#dispatch();
	}

	pause(): void {
		this.#state = this.#state === 'closed' ? 'closed' : 'paused';
	}

	/** Ignores the ramp: all slots become available at once. */
	resume(_rampMs: number): void {
		this.#state = this.#state === 'closed' ? 'closed' : 'open';
		this.#dispatch();
	}

	close(): void {
		this.#state = 'closed';
		for (const work of this.#queue) {
			this.#removeAndRefuse(work, 'paused');
		}
	}

	stats(): AdmissionStats {
		return this.#statistics.snapshot(this.#limits.slots);
	}

	async #enqueue(request: AdmissionRequest, workClass: WorkClass, nowMs: number): Promise<Result<Permit, Refusal>> {
		return new Promise(resolve => {
			const work: QueuedWork = {
				request, workClass, estimateMs: 0, queuedAtMs: nowMs, expiry: undefined, settle: resolve,
			};
			work.expiry = expireAt(this.options.timers, request.deadlineMs, () => {
				this.#removeAndRefuse(work, 'deadline-cannot-be-met');
			});
			this.#queue.add(work);
			this.#statistics.of(workClass).queued += 1;
		});
	}

	#dispatch(): void {
		while (this.#state === 'open' && this.#running < this.#limits.slots) {
			const [work] = this.#queue;
			if (!work) {
				return;
			}

			this.#dequeue(work);
			work.settle(ok(this.#start(work.workClass, work.queuedAtMs, this.options.timers.nowMs())));
		}
	}

	#start(workClass: WorkClass, queuedAtMs: number, nowMs: number): Permit {
		this.#running += 1;
		this.#statistics.onAdmitted(workClass, nowMs - queuedAtMs);
		let isReleased = false;
		return {
			workClass,
			queuedMs: nowMs - queuedAtMs,
			release: () => {
				if (!isReleased) {
					isReleased = true;
					this.#running -= 1;
					this.#statistics.of(workClass).running -= 1;
					this.#serviceTimes.observe('short', this.options.timers.nowMs() - nowMs);
					this.#dispatch();
				}
			},
		};
	}

	#dequeue(work: QueuedWork): void {
		work.expiry?.cancel();
		this.#queue.delete(work);
		this.#statistics.of(work.workClass).queued -= 1;
	}

	#removeAndRefuse(work: QueuedWork, kind: RefusalKind): void {
		this.#dequeue(work);
		work.settle(this.#refuse(work.workClass, kind));
	}

	#refuse(workClass: WorkClass, kind: RefusalKind): Result<Permit, Refusal> {
		this.#statistics.onRefused(workClass, kind);
		const drainMs = ((this.#queue.size + 1) * this.#serviceTimes.meanMs('short')) / this.#limits.slots;
		return err(createRefusal(kind, kind === 'paused' ? pausedRetryBaseMs : drainMs, this.options.random));
	}
}
