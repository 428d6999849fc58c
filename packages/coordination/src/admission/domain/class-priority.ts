import {type WorkClass} from '../definitions.js';

export type PriorityClass = Exclude<WorkClass, 'long'>;

/** Highest priority first. */
export const priorityClasses: readonly PriorityClass[] = ['critical', 'short', 'browse'];

/**
 * Number of times in a row that a waiting class may be skipped in favour of other classes. Under overload by
 * higher classes, `short` keeps at least a tenth and `browse` a twentieth of the slots.
 */
const maxSkips: Readonly<Record<PriorityClass, number>> = {critical: 0, short: 9, browse: 19};

/** Minimum share of the slots, and of the queue, for a class under overload by higher classes. */
export const minShare = (workClass: PriorityClass): number => 1 / (maxSkips[workClass] + 1);

/** Strict priority between classes, with a minimum share for each of them. */
export class ClassPriority {
	readonly #skipCounts: Record<PriorityClass, number> = {critical: 0, short: 0, browse: 0};

	/** Chooses the next class to serve among those with queued work. */
	choose(isWaiting: (workClass: PriorityClass) => boolean): PriorityClass | undefined {
		const waiting = priorityClasses.filter(workClass => isWaiting(workClass));
		const chosen = waiting.findLast(workClass => workClass !== 'critical' && this.#skipCounts[workClass] >= maxSkips[workClass])
			?? waiting.at(0);
		for (const workClass of priorityClasses) {
			const isSkipped = waiting.includes(workClass) && workClass !== chosen;
			this.#skipCounts[workClass] = isSkipped ? this.#skipCounts[workClass] + 1 : 0;
		}

		return chosen;
	}
}
