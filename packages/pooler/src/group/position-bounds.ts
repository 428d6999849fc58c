import {type LogPosition, type TimerService} from '@dogwoodthread/coordination';
import {type ContinuityClock} from './continuity-clock.js';

/** Every commit acknowledged before `askedAtMs` is at or before `position`. */
type PositionBound = {askedAtMs: number; position: LogPosition};

/** Bounds older than this serve no route, in ms. */
const retentionMs = 10_000;

/** How far the log of a group was known when. A discontinuity of the clocks ends all that is known. */
export class PositionBounds {
	#bounds: PositionBound[] = [];
	#epoch = -1;

	constructor(private readonly timers: TimerService, private readonly clock: ContinuityClock) {}

	get latest(): LogPosition | undefined {
		return this.#current().at(-1)?.position;
	}

	add(askedAtMs: number, position: LogPosition): void {
		const oldestMs = this.timers.nowMs() - retentionMs;
		const bounds = this.#current();
		const last = bounds.at(-1);
		if (!last || askedAtMs > last.askedAtMs) {
			this.#bounds = [...bounds.filter(bound => bound.askedAtMs >= oldestMs), {askedAtMs, position}];
		}
	}

	/**
	 * Oldest known position that bounds all commits acknowledged before `sinceMs`; the older it is, the more
	 * replicas have it.
	 */
	since(sinceMs: number): LogPosition | undefined {
		return this.#current().find(({askedAtMs}) => askedAtMs >= sinceMs)?.position;
	}

	#current(): PositionBound[] {
		const epoch = this.clock.epoch();
		if (epoch !== this.#epoch) {
			this.#epoch = epoch;
			this.#bounds = [];
		}

		return this.#bounds;
	}
}
