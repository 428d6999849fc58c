import {type ServiceSample} from '../definitions.js';

/** Amount by which one counter rose between two times. */
export type Increase<Labels> = {
	/** Exclusive. */
	fromUnixMs: number;
	/** Inclusive. */
	toUnixMs: number;
	labels: Labels;
	count: number;
};

type Incarnation = {startedUnixMs: number; samples: ServiceSample[]};

const groupByIncarnation = (samples: readonly ServiceSample[]): Incarnation[] => {
	const byIncarnation = new Map<string, Incarnation>();
	for (const sample of samples) {
		const key = `${sample.startedUnixMs} ${sample.host}`;
		const known = byIncarnation.get(key) ?? {startedUnixMs: sample.startedUnixMs, samples: []};
		known.samples.push(sample);
		byIncarnation.set(key, known);
	}

	for (const incarnation of byIncarnation.values()) {
		incarnation.samples.sort((a, b) => a.atUnixMs - b.atUnixMs);
	}

	return [...byIncarnation.values()];
};

/**
 * Increases of counters between successive samples of each incarnation of each host. Counts from before the first
 * sample of an incarnation are included only if the incarnation started no earlier than the first of all samples; those
 * of an older process may be arbitrarily old. Counters of an incarnation never decrease, so a lower value is a late or
 * damaged reading and adds nothing.
 *
 * @param readSeries Returns the counters of a sample with their labels.
 */
export const counterIncreases = <Labels>(
	samples: readonly ServiceSample[],
	readSeries: (sample: ServiceSample) => ReadonlyArray<{key: string; labels: Labels; count: number}>,
): Array<Increase<Labels>> => {
	const firstUnixMs = Math.min(...samples.map(({atUnixMs}) => atUnixMs));
	return groupByIncarnation(samples).flatMap(({startedUnixMs, samples: incarnationSamples}) => {
		const highestCounts = new Map<string, number>();
		const shouldCountFirstSample = startedUnixMs >= firstUnixMs;
		return incarnationSamples.flatMap((sample, index) => {
			const fromUnixMs = index === 0 ? startedUnixMs : incarnationSamples[index - 1]!.atUnixMs;
			return readSeries(sample).flatMap(({key, labels, count}) => {
				const previousCount = highestCounts.get(key) ?? 0;
				highestCounts.set(key, Math.max(previousCount, count));
				// A series that is absent from earlier samples has counted from zero since the previous sample.
				const isIncrease = count > previousCount && (index > 0 || shouldCountFirstSample);
				return isIncrease
					? [{
						fromUnixMs: Math.min(fromUnixMs, sample.atUnixMs), toUnixMs: sample.atUnixMs, labels, count: count - previousCount,
					}]
					: [];
			});
		});
	});
};

/** Part of an increase that falls into a time window, assuming a constant rate. */
export const countWithin = <Labels>(increase: Increase<Labels>, fromUnixMs: number, toUnixMs: number): number => {
	const {fromUnixMs: startMs, toUnixMs: endMs, count} = increase;
	if (endMs <= startMs) {
		return endMs > fromUnixMs && endMs <= toUnixMs ? count : 0;
	}

	const overlapMs = Math.min(endMs, toUnixMs) - Math.max(startMs, fromUnixMs);
	return overlapMs <= 0 ? 0 : (count * overlapMs) / (endMs - startMs);
};
