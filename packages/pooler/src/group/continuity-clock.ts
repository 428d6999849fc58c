import {type TimerService} from '@dogwoodthread/coordination';

/** Differences of the two clocks below this are ordinary slewing, in ms. */
const toleranceMs = 100;

/**
 * Notices that the process was suspended: the monotonic clock then stands still while the time of day goes
 * on. A step of the time of day looks the same; either way, what was believed before must be learnt anew.
 */
export class ContinuityClock {
	#offsetMs: number;
	#epoch = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly onDiscontinuity: (jumpMs: number) => void = () => undefined,
	) {
		this.#offsetMs = timers.wallClockMs() - timers.nowMs();
	}

	/** Grows with each discontinuity; times of two epochs must not be compared. */
	epoch(): number {
		const offsetMs = this.timers.wallClockMs() - this.timers.nowMs();
		const jumpMs = offsetMs - this.#offsetMs;
		if (Math.abs(jumpMs) > toleranceMs) {
			this.#epoch += 1;
			this.#offsetMs = offsetMs;
			this.onDiscontinuity(jumpMs);
		}

		return this.#epoch;
	}
}
