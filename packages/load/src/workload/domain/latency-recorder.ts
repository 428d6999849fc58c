import {build, type Histogram} from 'hdr-histogram-js';
import {type LatencySummary} from '../definitions.js';

const maxTrackedLatencyUs = 120_000_000;

const toMs = (us: number): number => Math.round(us / 10) / 100;

/** Histogram of latencies from 1 µs to 120 s, with three significant digits. */
export class LatencyRecorder {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: maxTrackedLatencyUs, numberOfSignificantValueDigits: 3,
	});

	record(latencyMs: number): void {
		this.#histogram.recordValue(Math.min(Math.max(1, Math.round(latencyMs * 1000)), maxTrackedLatencyUs));
	}

	summary(): LatencySummary {
		return {
			count: this.#histogram.totalCount,
			p50Ms: toMs(this.#histogram.getValueAtPercentile(50)),
			p99Ms: toMs(this.#histogram.getValueAtPercentile(99)),
			maxMs: toMs(this.#histogram.maxValue),
		};
	}
}
