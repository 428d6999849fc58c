import {type Measurement} from './definitions.js';
import {startFleet} from './fleet-measurements.js';
import {shareRuns} from './shared-run.js';

const cutMs = 300_000;
const boundMs = 600_000;

type Outcome = {mergedMs: number; peakBytes: number; ownSideDeaths: number};

/** Cuts one region off for some minutes; time until all members see all others as alive again. */
const measureMerge = async (size: number, seed: number): Promise<Outcome> => {
	const {timers, fleet, network} = await startFleet(size, seed);
	const isCutOff = ({region}: {region: string}) => region === 'region-1';
	const sides = [true, false].map(side => fleet.members.filter(member => isCutOff(member) === side));
	network.partition(sides.map(side => side.map(({transport}) => transport.address)));
	timers.advance(cutMs);
	network.heal();
	const seen = {ownSideDeaths: 0};
	for (const {membership, region} of fleet.members) {
		membership.onChange((member, previous) => {
			seen.ownSideDeaths += Number(member.state === 'dead' && previous?.state !== 'dead' && isCutOff(member) === isCutOff({region}));
		});
	}

	const startMs = timers.nowMs();
	let peakBytes = 0;
	while (!fleet.isConverged() && timers.nowMs() - startMs < boundMs) {
		const beforeBytes = fleet.sent().bytes;
		timers.advance(1000);
		peakBytes = Math.max(peakBytes, (fleet.sent().bytes - beforeBytes) / size);
	}

	return {mergedMs: timers.nowMs() - startMs, peakBytes, ...seen};
};

/** Merge of a region that was cut off, against the size of a simulated fleet. */
export const createPartitionMeasurements = (seed: number): Measurement[] => {
	const outcome = shareRuns(async size => measureMerge(size, seed));
	const common = {sizeUnit: 'member', sizes: [33, 110, 330], scale: 'linear'} as const;
	return [
		{
			...common, name: 'partition-merged', unit: 'ms', measure: outcome(({mergedMs}) => mergedMs),
		},
		{
			...common, name: 'partition-peak-sent', unit: 'B/s', measure: outcome(({peakBytes}) => peakBytes),
		},
		{
			...common, name: 'partition-own-side-deaths', unit: 'deaths', measure: outcome(({ownSideDeaths}) => ownSideDeaths),
		},
	];
};
