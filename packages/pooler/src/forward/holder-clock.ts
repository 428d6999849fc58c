import {type TimerService} from '@dogwoodthread/coordination';
import {type ClockReading} from './definitions.js';

/** An estimate is replaced by a worse one after this time, in ms; clocks drift apart by less than 1 ms in it. */
const renewMs = 10_000;

/**
 * A holder's monotonic clock as its replies tell it. The estimate runs behind by the delay of the fastest reply and
 * is never ahead, so that an age taken from it is at least the true one.
 */
export class HolderClock {
	#offsetMs = 0;
	#epoch: number | undefined;
	#notedAtMs = 0;

	constructor(private readonly timers: TimerService) {}

	get reading(): ClockReading | undefined {
		return this.#epoch === undefined ? undefined : {timeMs: this.timers.nowMs() + this.#offsetMs, epoch: this.#epoch};
	}

	note({timeMs, epoch}: ClockReading): void {
		const nowMs = this.timers.nowMs();
		const offsetMs = timeMs - nowMs;
		if (epoch !== this.#epoch || offsetMs >= this.#offsetMs || nowMs - this.#notedAtMs > renewMs) {
			this.#offsetMs = offsetMs;
			this.#epoch = epoch;
			this.#notedAtMs = nowMs;
		}
	}
}
