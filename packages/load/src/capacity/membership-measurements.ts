import {ManualTimerService} from '@dogwoodthread/coordination';
import {type Measurement} from './definitions.js';
import {LoneMember} from './lone-member.js';
import {seededRandom} from './random.js';
import {heapUsedBytes, processorTimeUs} from './resources.js';
import {shareRuns} from './shared-run.js';

const tableSizes = [100, 1000, 4900];
const observedMs = 300_000;

type TableCost = {processorUsPerSecond: number; sentBytesPerSecond: number};

const measureMemory = async (size: number, seed: number): Promise<number> => {
	const before = heapUsedBytes();
	const timers = new ManualTimerService();
	const member = new LoneMember(size, timers, seededRandom(seed));
	member.fillTable();
	member.start();
	// Fills the lists and digests that are kept beside the table.
	timers.advance(60_000);
	const usedBytes = heapUsedBytes() - before;
	if (member.membership.members().length !== size) {
		throw new Error(`The table holds ${member.membership.members().length} members, not ${size}.`);
	}

	return usedBytes;
};

const measureTableCost = async (size: number, seed: number): Promise<TableCost> => {
	const timers = new ManualTimerService();
	const member = new LoneMember(size, timers, seededRandom(seed));
	member.fillTable();
	member.start();
	// Long enough for the compiler to have optimized the paths that are measured.
	timers.advance(observedMs);
	const sentBytes = () => Object.values(member.membership.counters.sent).reduce((sum, {bytes}) => sum + bytes, 0);
	const beforeBytes = sentBytes();
	const usedUs = await processorTimeUs(() => {
		timers.advance(observedMs);
	});
	const seconds = observedMs / 1000;
	return {processorUsPerSecond: usedUs / seconds, sentBytesPerSecond: (sentBytes() - beforeBytes) / seconds};
};

/** Cost of the member table for one member. */
export const createMembershipMeasurements = (seed: number): Measurement[] => {
	const cost = shareRuns(async size => measureTableCost(size, seed));
	const common = {sizeUnit: 'member', sizes: tableSizes, scale: 'linear'} as const;
	return [
		{
			...common, name: 'membership-memory', unit: 'B', measure: async size => measureMemory(size, seed),
		},
		{
			...common, name: 'membership-processor', unit: 'µs/s', measure: cost(({processorUsPerSecond}) => processorUsPerSecond),
		},
		{
			...common, name: 'membership-sent', unit: 'B/s', measure: cost(({sentBytesPerSecond}) => sentBytesPerSecond),
		},
	];
};
