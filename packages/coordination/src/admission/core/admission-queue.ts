import {type Result} from 'neverthrow';
import {type TimerService} from '../../timer/index.js';
import {
	type AdmissionRequest, type Permit, type Refusal, type RefusalKind, type WorkClass,
} from '../definitions.js';
import {type AdmissionStatistics} from '../domain/admission-statistics.js';
import {expireAt} from '../domain/expiry.js';
import {type QueuedWork} from '../domain/queued-work.js';
import {WorkQueues} from '../domain/work-queues.js';

export type AdmissionQueueOptions = {
	timers: TimerService;
	statistics: AdmissionStatistics;
	maxLength: number;
	/** Counts a refusal of a queued request and creates its result. */
	createRefusal: (workClass: WorkClass, kind: RefusalKind) => Result<Permit, Refusal>;
	/** Refusal kind for a queued request whose deadline can no longer be met. */
	expiryRefusalKind: () => RefusalKind;
};

/** Queues the requests that wait for a slot, with their expiry timers and the gauge of queued requests. */
export class AdmissionQueue {
	readonly byClass: WorkQueues;

	constructor(private readonly options: AdmissionQueueOptions) {
		this.byClass = new WorkQueues(options.maxLength);
	}

	/** Queues the request, displacing a queued one if necessary. Returns `undefined` if there is no room. */
	add(request: AdmissionRequest, workClass: WorkClass, estimateMs: number): Promise<Result<Permit, Refusal>> | undefined {
		const {hasRoom, displaced} = this.byClass.makeRoomFor(workClass, request.callerId);
		if (displaced) {
			this.#countDequeued(displaced);
			this.refuseDequeued(displaced, 'overloaded');
		}

		return hasRoom ? this.#enqueue(request, workClass, estimateMs) : undefined;
	}

	takeLong(quantumMs: number): QueuedWork | undefined {
		return this.#countDequeued(this.byClass.takeLong(quantumMs));
	}

	takeOther(quantumMs: number): QueuedWork | undefined {
		return this.#countDequeued(this.byClass.takeOther(quantumMs));
	}

	/** Adds a request to the queue of a class. */
	insert(work: QueuedWork, workClass: WorkClass): void {
		work.workClass = workClass;
		this.byClass.add(work);
		this.options.statistics.of(workClass).queued += 1;
	}

	/** Moves the queued requests of a statement to the queue of their current class. */
	reassign(statementName: string, classOf: (request: AdmissionRequest) => WorkClass): void {
		const moved = this.byClass.values()
			.filter(({request, workClass}) => request.statementName === statementName && workClass !== classOf(request));
		for (const work of moved) {
			this.byClass.remove(work);
			this.#countDequeued(work);
			this.insert(work, classOf(work.request));
		}
	}

	refuseAll(kind: RefusalKind): void {
		for (const work of this.byClass.values()) {
			this.#removeAndRefuse(work, kind);
		}
	}

	/** Refuses a request that has already been removed from its queue. */
	refuseDequeued(work: QueuedWork, kind: RefusalKind): void {
		work.expiry?.cancel();
		work.settle(this.options.createRefusal(work.workClass, kind));
	}

	async #enqueue(request: AdmissionRequest, workClass: WorkClass, estimateMs: number): Promise<Result<Permit, Refusal>> {
		return new Promise(resolve => {
			const {timers} = this.options;
			const work: QueuedWork = {
				request, workClass, estimateMs, queuedAtMs: timers.nowMs(), expiry: undefined, settle: resolve,
			};
			work.expiry = expireAt(timers, request.deadlineMs - estimateMs, () => {
				this.#removeAndRefuse(work, this.options.expiryRefusalKind());
			});
			this.insert(work, workClass);
		});
	}

	#removeAndRefuse(work: QueuedWork, kind: RefusalKind): void {
		if (this.byClass.remove(work)) {
			this.#countDequeued(work);
			this.refuseDequeued(work, kind);
		}
	}

	#countDequeued<Work extends QueuedWork | undefined>(work: Work): Work {
		if (work) {
			this.options.statistics.of(work.workClass).queued -= 1;
		}

		return work;
	}
}
