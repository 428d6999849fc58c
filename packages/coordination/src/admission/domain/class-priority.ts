import {type WorkClass} from '../definitions.js';

export type PriorityClass = Exclude<WorkClass, 'long'>;

/** Highest priority first. */
export const priorityClasses: readonly PriorityClass[] = ['critical', 'short', 'browse'];

/**
 * A waiting class is served at the latest after this many choices of other classes: short work keeps
 * at least a tenth and browse a twentieth of the slots under a flood of higher classes.
 */
const maxPassedOver: Readonly<Record<PriorityClass, number>> = {critical: 0, short: 9, browse: 19};

/** Share of the slots, and of the queue, that a class keeps under a flood of higher ones. */
export const minShare = (workClass: PriorityClass): number => 1 / (maxPassedOver[workClass] + 1);

/** Strict priority between classes with a minimum share for each. */
export class ClassPriority {
	readonly #passedOver: Record<PriorityClass, number> = {critical: 0, short: 0, browse: 0};

	/** Chooses among the classes that have work waiting. */
	choose(isWaiting: (workClass: PriorityClass) => boolean): PriorityClass | undefined {
		const waiting = priorityClasses.filter(workClass => isWaiting(workClass));
		const chosen = waiting.findLast(workClass => workClass !== 'critical' && this.#passedOver[workClass] >= maxPassedOver[workClass])
			?? waiting.at(0);
		for (const workClass of priorityClasses) {
			const passed = waiting.includes(workClass) && workClass !== chosen;
			this.#passedOver[workClass] = passed ? this.#passedOver[workClass] + 1 : 0;
		}

		return chosen;
	}
}
