import {type LogPosition, type TimerService} from '@dogwoodthread/coordination';
import {type ClockDiscontinuityDetector} from './clock-discontinuity-detector.js';

/** Every commit acknowledged before `requestedAtMs` is at or before `position`. */
type CommitBound = {requestedAtMs: number; position: LogPosition};

/** Bounds older than this are of no use to any route, in ms. */
const retentionMs = 10_000;

/** Upper bounds of the acknowledged commits of a group over time. A discontinuity of the clocks invalidates all of them. */
export class CommitBounds {
	#bounds: CommitBound[] = [];
	#epoch = -1;

	constructor(private readonly timers: TimerService, private readonly clock: ClockDiscontinuityDetector) {}

	get latest(): LogPosition | undefined {
		return this.#currentBounds().at(-1)?.position;
	}

	add(requestedAtMs: number, position: LogPosition): void {
		const oldestMs = this.timers.nowMs() - retentionMs;
		const bounds = this.#currentBounds();
		const last = bounds.at(-1);
		if (!last || requestedAtMs > last.requestedAtMs) {
			this.#bounds = [...bounds.filter(bound => bound.requestedAtMs >= oldestMs), {requestedAtMs, position}];
		}
	}

	/**
	 * Oldest known position that is at or above all commits acknowledged before `atMs`. The older the position, the more
	 * replicas have applied it.
	 */
	boundAt(atMs: number): LogPosition | undefined {
		return this.#currentBounds().find(({requestedAtMs}) => requestedAtMs >= atMs)?.position;
	}

	#currentBounds(): CommitBound[] {
		const epoch = this.clock.epoch();
		if (epoch !== this.#epoch) {
			this.#epoch = epoch;
			this.#bounds = [];
		}

		return this.#bounds;
	}
}
