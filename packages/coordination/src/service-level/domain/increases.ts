import {type ServiceSample} from '../definitions.js';

/** Requests of one kind that were counted between two times. */
export type Increase<Labels> = {
	/** Exclusive. */
	fromUnixMs: number;
	/** Inclusive. */
	toUnixMs: number;
	labels: Labels;
	count: number;
};

type Incarnation = {startedUnixMs: number; samples: ServiceSample[]};

const incarnations = (samples: readonly ServiceSample[]): Incarnation[] => {
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
 * Counts between successive samples of each incarnation of each host. The counts of an incarnation
 * before its first sample are taken in only if it started after the first of all samples; those of an
 * older process may lie any time back. Counters within an incarnation never fall, so a lower value is a
 * late or damaged reading and adds nothing.
 *
 * @param series Counters of a sample with their labels.
 */
export const increases = <Labels>(
	samples: readonly ServiceSample[],
	series: (sample: ServiceSample) => ReadonlyArray<{key: string; labels: Labels; count: number}>,
): Array<Increase<Labels>> => {
	const firstUnixMs = Math.min(...samples.map(({atUnixMs}) => atUnixMs));
	return incarnations(samples).flatMap(({startedUnixMs, samples: own}) => {
		const highest = new Map<string, number>();
		const countFirst = startedUnixMs >= firstUnixMs;
		return own.flatMap((sample, index) => {
			const fromUnixMs = index === 0 ? startedUnixMs : own[index - 1]!.atUnixMs;
			return series(sample).flatMap(({key, labels, count}) => {
				const before = highest.get(key) ?? 0;
				highest.set(key, Math.max(before, count));
				// A series that appears later than its process has counted from zero since the sample before.
				const counts = count > before && (index > 0 || countFirst);
				return counts
					? [{
						fromUnixMs: Math.min(fromUnixMs, sample.atUnixMs), toUnixMs: sample.atUnixMs, labels, count: count - before,
					}]
					: [];
			});
		});
	});
};

/** Part of an increase that falls into a window, as if it had come at an even rate. */
export const countWithin = <Labels>(increase: Increase<Labels>, fromUnixMs: number, toUnixMs: number): number => {
	const {fromUnixMs: startMs, toUnixMs: endMs, count} = increase;
	if (endMs <= startMs) {
		return endMs > fromUnixMs && endMs <= toUnixMs ? count : 0;
	}

	const overlapMs = Math.min(endMs, toUnixMs) - Math.max(startMs, fromUnixMs);
	return overlapMs <= 0 ? 0 : (count * overlapMs) / (endMs - startMs);
};
