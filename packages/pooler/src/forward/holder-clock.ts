import {type TimerService} from '@dogwoodthread/coordination';
import {type ClockReading} from './definitions.js';

/** An older estimate is replaced even by a less accurate one. Clocks drift apart by less than 1 ms in this time. */
const maxEstimateAgeMs = 10_000;

/**
 * Estimates a holder's monotonic clock from the readings in its replies. The estimate lags the true clock by the
 * network delay of the fastest reply and never leads it, so an age computed from it is never too small.
 */
export class HolderClock {
	#offsetMs = 0;
	#epoch: number | undefined;
	#updatedAtMs = 0;

	constructor(private readonly timers: TimerService) {}

	get estimate(): ClockReading | undefined {
		return this.#epoch === undefined ? undefined : {timeMs: this.timers.nowMs() + this.#offsetMs, epoch: this.#epoch};
	}

	/** Takes a reading if it gives a better estimate, or if the current one is from another epoch or too old. */
	update({timeMs, epoch}: ClockReading): void {
		const nowMs = this.timers.nowMs();
		const offsetMs = timeMs - nowMs;
		if (epoch !== this.#epoch || offsetMs >= this.#offsetMs || nowMs - this.#updatedAtMs > maxEstimateAgeMs) {
			this.#offsetMs = offsetMs;
			this.#epoch = epoch;
			this.#updatedAtMs = nowMs;
		}
	}
}
