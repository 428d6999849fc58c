import {type WorkClass} from '../definitions.js';
import {ClassPriority, minShare, priorityClasses} from './class-priority.js';
import {ClassQueue} from './class-queue.js';
import {type QueuedWork} from './queued-work.js';

/** The queues of all classes of one instance, with a common bound. */
export class WorkQueues {
	readonly #queues: Readonly<Record<WorkClass, ClassQueue>> = {
		critical: new ClassQueue(), short: new ClassQueue(), browse: new ClassQueue(), long: new ClassQueue(),
	};

	readonly #priority = new ClassPriority();

	constructor(public maxLength: number) {}

	get length(): number {
		return this.#queues.long.length + this.otherLength;
	}

	get otherLength(): number {
		return priorityClasses.reduce((sum, workClass) => sum + this.#queues[workClass].length, 0);
	}

	of(workClass: WorkClass): ClassQueue {
		return this.#queues[workClass];
	}

	add(work: QueuedWork): void {
		this.#queues[work.workClass].add(work);
	}

	remove(work: QueuedWork): boolean {
		return this.#queues[work.workClass].remove(work);
	}

	nextLong(quantumMs: number): QueuedWork | undefined {
		return this.#queues.long.next(quantumMs);
	}

	nextOther(quantumMs: number): QueuedWork | undefined {
		const workClass = this.#priority.choose(candidate => this.#queues[candidate].length > 0);
		return workClass && this.#queues[workClass].next(quantumMs);
	}

	/** Requests that are served before a new one of this class and caller. */
	ahead(workClass: WorkClass, callerId: string): number {
		const queue = this.#queues[workClass];
		const ownPosition = queue.callerLength(callerId) + 1;
		const sameClass = Math.min(queue.length, ownPosition * Math.max(1, queue.callerCount));
		const higher = workClass === 'long' ? [] : priorityClasses.slice(0, priorityClasses.indexOf(workClass));
		return higher.reduce((sum, candidate) => sum + this.#queues[candidate].length, sameClass);
	}

	/**
	 * Whether a new request fits. When it does not, gives the queued request that makes room for it, if
	 * there is one: of a lower class that holds more than its minimum share of the queue, or else of the
	 * caller with the longest queue in the same class.
	 */
	roomFor(workClass: WorkClass, callerId: string): {fits: boolean; displaced?: QueuedWork} {
		const queue = this.#queues[workClass];
		// Long work waits long: with more than half of the queue it would keep other work out of it.
		const classFull = workClass === 'long' && queue.length >= Math.max(1, Math.floor(this.maxLength / 2));
		if (this.length < this.maxLength && !classFull) {
			return {fits: true};
		}

		const displaced = this.#takeLower(workClass) ?? this.#takeFromLongest(queue, callerId);
		return {fits: displaced !== undefined, displaced};
	}

	values(): QueuedWork[] {
		return Object.values(this.#queues).flatMap(queue => queue.values());
	}

	#takeLower(workClass: WorkClass): QueuedWork | undefined {
		if (workClass === 'long') {
			return undefined;
		}

		const lower = priorityClasses.slice(priorityClasses.indexOf(workClass) + 1);
		const displaceable = lower.findLast(candidate =>
			this.#queues[candidate].length > Math.floor(this.maxLength * minShare(candidate)));
		return displaceable && this.#queues[displaceable].takeFromLongest();
	}

	#takeFromLongest(queue: ClassQueue, callerId: string): QueuedWork | undefined {
		return queue.callerLength(callerId) + 1 < queue.longestCallerLength ? queue.takeFromLongest() : undefined;
	}
}
