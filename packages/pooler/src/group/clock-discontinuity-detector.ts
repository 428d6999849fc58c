import {type TimerService} from '@dogwoodthread/coordination';

/** Changes of the offset between the two clocks up to this are ordinary slewing, in ms. */
const slewToleranceMs = 100;

/**
 * Detects that the process was suspended, by the offset between the wall clock and the monotonic clock: during a
 * suspension only the wall clock advances. A step of the wall clock looks the same. In both cases everything
 * learnt before is outdated and must be requested again.
 */
export class ClockDiscontinuityDetector {
	#offsetMs: number;
	#epoch = 0;

	constructor(
		private readonly timers: TimerService,
		private readonly onDiscontinuity: (jumpMs: number) => void = () => undefined,
	) {
		this.#offsetMs = timers.wallClockMs() - timers.nowMs();
	}

	/** Incremented at each discontinuity. Times from different epochs must not be compared. */
	epoch(): number {
		const offsetMs = this.timers.wallClockMs() - this.timers.nowMs();
		const jumpMs = offsetMs - this.#offsetMs;
		if (Math.abs(jumpMs) > slewToleranceMs) {
			this.#epoch += 1;
			this.#offsetMs = offsetMs;
			this.onDiscontinuity(jumpMs);
		}

		return this.#epoch;
	}
}
