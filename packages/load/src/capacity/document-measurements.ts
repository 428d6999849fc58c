import {type Measurement} from './definitions.js';
import {shareRuns} from './shared-run.js';
import {DocumentFleet} from './document-fleet.js';
import {startFleet} from './fleet-measurements.js';

const sizes = [9, 30, 100, 300];
const changes = 5;

type Outcome = {timesMs: number[]; bytesPerChange: number; confirmedAgoMs: number; platformCallsPerSecond: number};

const measureChanges = async (size: number, seed: number): Promise<Outcome> => {
	const {timers, random, fleet} = await startFleet(size, seed);
	const documents = new DocumentFleet(fleet, timers, random);
	const timesMs = [];
	await documents.change();
	await timers.advanceAsync(20_000, 10);
	const pushed = () => fleet.members.reduce((sum, {membership}) => sum + membership.counters.sent.push.bytes, 0);
	const pushedBefore = pushed();
	for (let change = 0; change < changes; change += 1) {
		await timers.advanceAsync(3000 + (random() * 1000), 10);
		timesMs.push(await documents.change());
	}

	const pushedBytes = pushed() - pushedBefore;
	const callsBefore = documents.platform.calls;
	await timers.advanceAsync(20_000, 10);
	const platformCallsPerSecond = (documents.platform.calls - callsBefore) / 20;
	const confirmedAgoMs = documents.greatestConfirmedAgoMs();
	documents.stop();
	return {
		timesMs, bytesPerChange: pushedBytes / changes / size, confirmedAgoMs, platformCallsPerSecond,
	};
};

/** Spread of document versions against the size of a simulated fleet. */
export const createDocumentMeasurements = (seed: number): Measurement[] => {
	const outcome = shareRuns(async size => measureChanges(size, seed));
	const measurement = (name: string, unit: string, select: (outcome: Outcome) => number): Measurement => ({
		name, unit, sizeUnit: 'member', sizes, scale: 'log2', measure: outcome(select),
	});
	return [
		measurement('document-in-force-mean', 'ms', ({timesMs}) => timesMs.reduce((sum, ms) => sum + ms, 0) / timesMs.length),
		measurement('document-in-force-worst', 'ms', ({timesMs}) => Math.max(...timesMs)),
		measurement('document-gossip-per-change', 'B', ({bytesPerChange}) => bytesPerChange),
		measurement('document-confirmed-age-worst', 'ms', ({confirmedAgoMs}) => confirmedAgoMs),
		measurement('document-platform-calls', '1/s', ({platformCallsPerSecond}) => platformCallsPerSecond),
	];
};
