import {type Result} from 'neverthrow';
import {type TimerService} from '../../timer/index.js';
import {
	type AdmissionRequest, type Permit, type Refusal, type RefusalKind, type WorkClass,
} from '../definitions.js';
import {type AdmissionStatistics} from '../domain/admission-statistics.js';
import {expireAt} from '../domain/expiry.js';
import {type QueuedWork} from '../domain/queued-work.js';
import {WorkQueues} from '../domain/work-queues.js';

export type WaitingWorkOptions = {
	timers: TimerService;
	statistics: AdmissionStatistics;
	maxLength: number;
	/** Builds the answer of a request that is refused while it waits. */
	refuse: (workClass: WorkClass, kind: RefusalKind) => Result<Permit, Refusal>;
	/** Kind of the refusal of a request whose deadline can no longer be met. */
	expiryKind: () => RefusalKind;
};

/** Requests that wait for a slot: their queues, expiry timers and gauges. */
export class WaitingWork {
	readonly queues: WorkQueues;

	constructor(private readonly options: WaitingWorkOptions) {
		this.queues = new WorkQueues(options.maxLength);
	}

	/** Queues the request if there is or can be made room for it; otherwise gives `undefined`. */
	add(request: AdmissionRequest, workClass: WorkClass, estimateMs: number): Promise<Result<Permit, Refusal>> | undefined {
		const {fits, displaced} = this.queues.roomFor(workClass, request.callerId);
		if (displaced) {
			this.#left(displaced);
			this.settleRefused(displaced, 'overloaded');
		}

		return fits ? this.#enqueue(request, workClass, estimateMs) : undefined;
	}

	takeLong(quantumMs: number): QueuedWork | undefined {
		return this.#left(this.queues.nextLong(quantumMs));
	}

	takeOther(quantumMs: number): QueuedWork | undefined {
		return this.#left(this.queues.nextOther(quantumMs));
	}

	/** Puts a request that was taken out back into the queue of another class. */
	putBack(work: QueuedWork, workClass: WorkClass): void {
		work.workClass = workClass;
		this.queues.add(work);
		this.options.statistics.of(workClass).queued += 1;
	}

	/** Moves the waiting requests of a statement to the queue of their present class. */
	reassign(statementName: string, classOf: (request: AdmissionRequest) => WorkClass): void {
		const moved = this.queues.values()
			.filter(({request, workClass}) => request.statementName === statementName && workClass !== classOf(request));
		for (const work of moved) {
			this.queues.remove(work);
			this.#left(work);
			this.putBack(work, classOf(work.request));
		}
	}

	dropAll(kind: RefusalKind): void {
		for (const work of this.queues.values()) {
			this.#drop(work, kind);
		}
	}

	/** Answers a request that has left its queue. */
	settleRefused(work: QueuedWork, kind: RefusalKind): void {
		work.expiry?.cancel();
		work.settle(this.options.refuse(work.workClass, kind));
	}

	async #enqueue(request: AdmissionRequest, workClass: WorkClass, estimateMs: number): Promise<Result<Permit, Refusal>> {
		return new Promise(resolve => {
			const {timers} = this.options;
			const work: QueuedWork = {
				request, workClass, estimateMs, queuedAtMs: timers.nowMs(), expiry: undefined, settle: resolve,
			};
			work.expiry = expireAt(timers, request.deadlineMs - estimateMs, () => {
				this.#drop(work, this.options.expiryKind());
			});
			this.putBack(work, workClass);
		});
	}

	#drop(work: QueuedWork, kind: RefusalKind): void {
		if (this.queues.remove(work)) {
			this.#left(work);
			this.settleRefused(work, kind);
		}
	}

	#left<Work extends QueuedWork | undefined>(work: Work): Work {
		if (work) {
			this.options.statistics.of(work.workClass).queued -= 1;
		}

		return work;
	}
}
