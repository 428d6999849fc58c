import {type WorkClass} from '../definitions.js';
import {ClassPriority, minShare, priorityClasses} from './class-priority.js';
import {ClassQueue} from './class-queue.js';
import {type QueuedWork} from './queued-work.js';

/** The queues of all work classes of one instance, with a common maximum length. */
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

	takeLong(quantumMs: number): QueuedWork | undefined {
		return this.#queues.long.takeNext(quantumMs);
	}

	takeOther(quantumMs: number): QueuedWork | undefined {
		const workClass = this.#priority.choose(candidate => this.#queues[candidate].length > 0);
		return workClass && this.#queues[workClass].takeNext(quantumMs);
	}

	/** Number of requests that would be served before a new one of this class and caller. */
	countAhead(workClass: WorkClass, callerId: string): number {
		const queue = this.#queues[workClass];
		const ownPosition = queue.callerLength(callerId) + 1;
		const sameClass = ownPosition * Math.max(1, queue.callerCount);
		const higher = workClass === 'long' ? [] : priorityClasses.slice(0, priorityClasses.indexOf(workClass));
		return higher.reduce((sum, candidate) => sum + this.#queues[candidate].length, sameClass);
	}

	/**
	 * Whether there is room for a new request. If the queue is full, removes and returns a queued request to make
	 * room, if possible: one of a lower class that exceeds its minimum share of the queue, or else one of the
	 * caller with the longest queue in the same class.
	 */
	makeRoomFor(workClass: WorkClass, callerId: string): {hasRoom: boolean; displaced?: QueuedWork} {
		const queue = this.#queues[workClass];
		// Long work stays queued for a long time; with more than half of the queue it would crowd out other work.
		const isClassFull = workClass === 'long' && queue.length >= Math.max(1, Math.floor(this.maxLength / 2));
		if (this.length < this.maxLength && !isClassFull) {
			return {hasRoom: true};
		}

		const displaced = this.#takeFromLowerClass(workClass) ?? this.#takeFromLongestCaller(queue, callerId);
		return {hasRoom: displaced !== undefined, displaced};
	}

	values(): QueuedWork[] {
		return Object.values(this.#queues).flatMap(queue => queue.values());
	}

	#takeFromLowerClass(workClass: WorkClass): QueuedWork | undefined {
		if (workClass === 'long') {
			return undefined;
		}

		const lower = priorityClasses.slice(priorityClasses.indexOf(workClass) + 1);
		const displaceable = lower.findLast(candidate =>
			this.#queues[candidate].length > Math.floor(this.maxLength * minShare(candidate)));
		return displaceable && this.#queues[displaceable].takeFromLongestCaller();
	}

	#takeFromLongestCaller(queue: ClassQueue, callerId: string): QueuedWork | undefined {
		return queue.callerLength(callerId) + 1 < queue.longestCallerLength ? queue.takeFromLongestCaller() : undefined;
	}
}
