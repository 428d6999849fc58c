import {
	type AdmissionStats, type ClassStats, type RefusalKind, type WorkClass,
} from '../definitions.js';

/** Upper bounds of the queue wait histogram in ms; the last bucket is unbounded. */
export const queueWaitBoundsMs: readonly number[] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];

const workClasses: readonly WorkClass[] = ['critical', 'short', 'browse', 'long'];

const emptyClass = (): ClassStats => ({
	admitted: 0,
	refused: {
		overloaded: 0, 'deadline-cannot-be-met': 0, paused: 0, 'invalid-request': 0,
	},
	queued: 0,
	running: 0,
	queueWaitBuckets: Array.from({length: queueWaitBoundsMs.length + 1}, () => 0),
	queueWaitSumMs: 0,
});

/** Counters and gauges of one admission, by work class. */
export class AdmissionStatistics {
	readonly #classes: Record<WorkClass, ClassStats> = {
		critical: emptyClass(), short: emptyClass(), browse: emptyClass(), long: emptyClass(),
	};

	of(workClass: WorkClass): ClassStats {
		return this.#classes[workClass];
	}

	total(field: 'queued' | 'running'): number {
		return workClasses.reduce((sum, workClass) => sum + this.#classes[workClass][field], 0);
	}

	onAdmitted(workClass: WorkClass, queuedMs: number): void {
		const stats = this.#classes[workClass];
		const bucket = queueWaitBoundsMs.findIndex(boundMs => queuedMs <= boundMs);
		stats.admitted += 1;
		stats.running += 1;
		stats.queueWaitSumMs += queuedMs;
		stats.queueWaitBuckets[bucket === -1 ? queueWaitBoundsMs.length : bucket]! += 1;
	}

	onRefused(workClass: WorkClass, kind: RefusalKind): void {
		this.#classes[workClass].refused[kind] += 1;
	}

	snapshot(limit: number): AdmissionStats {
		return {limit, queueWaitBoundsMs, classes: structuredClone(this.#classes)};
	}
}
