import {type WorkClass} from '../definitions.js';

/** Share of a new sample: follows a change of the load within about 20 runs. */
const sampleWeight = 0.05;

/** Mean service time of long and of other work at one instance, in ms; 0 before the first run. */
export class ServiceTimes {
	#longMs = 0;
	#otherMs = 0;

	meanMs(workClass: WorkClass): number {
		return workClass === 'long' ? this.#longMs : this.#otherMs;
	}

	observe(workClass: WorkClass, serviceMs: number): void {
		if (workClass === 'long') {
			this.#longMs = blend(this.#longMs, serviceMs);
		} else {
			this.#otherMs = blend(this.#otherMs, serviceMs);
		}
	}
}

const blend = (meanMs: number, sampleMs: number): number =>
	meanMs === 0 ? sampleMs : meanMs + (sampleWeight * (sampleMs - meanMs));
