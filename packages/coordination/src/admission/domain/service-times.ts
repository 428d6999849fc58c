import {type WorkClass} from '../definitions.js';

/** Weight of a new sample in the moving average, which adapts to a load change within about 20 runs. */
const sampleWeight = 0.05;

/** Mean service times of long and of other work at one instance, in ms; 0 before the first run. */
export class ServiceTimes {
	#longMs = 0;
	#otherMs = 0;

	meanMs(workClass: WorkClass): number {
		return workClass === 'long' ? this.#longMs : this.#otherMs;
	}

	observe(workClass: WorkClass, serviceMs: number): void {
		if (workClass === 'long') {
			this.#longMs = movingAverage(this.#longMs, serviceMs);
		} else {
			this.#otherMs = movingAverage(this.#otherMs, serviceMs);
		}
	}
}

const movingAverage = (meanMs: number, sampleMs: number): number =>
	meanMs === 0 ? sampleMs : meanMs + (sampleWeight * (sampleMs - meanMs));
