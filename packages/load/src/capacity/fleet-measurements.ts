import {ManualTimerService} from '@dogwoodthread/coordination';
import {type Measurement} from './definitions.js';
import {createMemoryFleet, type GossipFleet} from './gossip-fleet.js';
import {seededRandom} from './random.js';
import {processorTimeUs} from './resources.js';
import {shareRuns} from './shared-run.js';

const fleetSizes = [9, 30, 100, 300];
const domainFailureSizes = [33, 110, 330, 990];
const settleMs = 60_000;
const observedMs = 60_000;
const trials = 5;
const boundMs = 120_000;
// Small fleets run for longer before they are observed, so that the compiler has optimized the paths.
const warmUpMemberSeconds = 20_000;

type Cost = {processorUs: number; sentBytes: number; datagrams: number};

export const startFleet = async (size: number, seed: number) => {
	const timers = new ManualTimerService();
	const random = seededRandom(seed);
	const {fleet, network} = createMemoryFleet(timers, random);
	await fleet.start(size);
	timers.advance(settleMs);
	if (!fleet.isConverged()) {
		throw new Error(`A fleet of ${size} did not form within ${settleMs} ms (seed ${seed}).`);
	}

	return {
		timers, random, fleet, network,
	};
};

/** Cost per member and second while nothing happens. */
const measureCost = async (size: number, seed: number): Promise<Cost> => {
	const {timers, fleet} = await startFleet(size, seed);
	timers.advance(warmUpMemberSeconds * 1000 / size);
	const before = fleet.sent();
	const usedUs = await processorTimeUs(() => {
		timers.advance(observedMs);
	});
	const memberSeconds = size * observedMs / 1000;
	const after = fleet.sent();
	return {
		processorUs: usedUs / memberSeconds,
		sentBytes: (after.bytes - before.bytes) / memberSeconds,
		datagrams: (after.datagrams - before.datagrams) / memberSeconds,
	};
};

const seeAllDead = (fleet: GossipFleet, dead: readonly string[]): boolean =>
	fleet.members.every(({membership}) => dead.every(hostId => membership.get(hostId)?.state === 'dead'));

/** Crashes of single members: times in ms until all others see them as dead, and bytes of pushes for each member and crash. */
const measureNotice = async (size: number, seed: number): Promise<{timesMs: number[]; pushedBytes: number}> => {
	const {timers, fleet, random} = await startFleet(size + trials, seed);
	const pushedBytes = () => fleet.members.reduce((sum, {membership}) => sum + membership.counters.sent.push.bytes, 0) / size;
	const before = pushedBytes();
	const timesMs = Array.from({length: trials}, () => {
		timers.advance(random() * 1000);
		const crashed = fleet.members[Math.floor(random() * fleet.members.length)]!;
		fleet.crash(crashed);
		const startMs = timers.nowMs();
		while (!seeAllDead(fleet, [crashed.membership.self().hostId]) && timers.nowMs() - startMs < boundMs) {
			timers.advance(100);
		}

		return timers.nowMs() - startMs;
	});
	timers.advance(20_000);
	return {timesMs, pushedBytes: (pushedBytes() - before) / trials};
};

/** Crash of a whole failure domain: time until all see it, and the most that a member sends in one second. */
const measureDomainFailure = async (size: number, seed: number): Promise<{noticedMs: number; peakBytes: number; processorUs: number}> => {
	const {timers, fleet} = await startFleet(size, seed);
	const crashed = fleet.members.filter(({failureDomain}) => failureDomain === 'failure-domain-3');
	for (const member of crashed) {
		fleet.crash(member);
	}

	const hostIds = crashed.map(({membership}) => membership.self().hostId);
	const startMs = timers.nowMs();
	let peakBytes = 0;
	let noticedMs = boundMs;
	const usedUs = await processorTimeUs(() => {
		while (timers.nowMs() - startMs < 30_000) {
			const before = fleet.sent().bytes;
			timers.advance(1000);
			peakBytes = Math.max(peakBytes, (fleet.sent().bytes - before) / fleet.members.length);
			noticedMs = seeAllDead(fleet, hostIds) ? Math.min(noticedMs, timers.nowMs() - startMs) : boundMs;
		}
	});
	return {noticedMs, peakBytes, processorUs: usedUs / (30 * fleet.members.length)};
};

/** Suspicions and false deaths per member and hour while 1 % of datagrams are lost. */
const measureLoss = async (size: number, seed: number): Promise<{suspicions: number; deaths: number}> => {
	const {timers, fleet, network} = await startFleet(size, seed);
	network.dropProbability = 0.01;
	timers.advance(600_000);
	const memberHours = size / 6;
	return {suspicions: fleet.count('suspicionsRaised') / memberHours, deaths: fleet.count('deathsDeclared') / memberHours};
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const fleet = (name: string, unit: string, measure: Measurement['measure'], rest: Partial<Measurement> = {}): Measurement => ({
	name, unit, sizeUnit: 'member', sizes: fleetSizes, scale: 'linear', measure, ...rest,
});

/** Cost and behaviour of gossip against the size of a simulated fleet. */
export const createFleetMeasurements = (seed: number): Measurement[] => {
	const cost = shareRuns(async size => measureCost(size, seed));
	const notice = shareRuns(async size => measureNotice(size, seed));
	const domainFailure = shareRuns(async size => measureDomainFailure(size, seed));
	const loss = shareRuns(async size => measureLoss(size, seed));
	const rounds = {scale: 'log2'} as const;
	const domain = {sizes: domainFailureSizes, ...rounds};
	const lossSizes = {sizes: [9, 30, 100]};
	return [
		fleet('gossip-processor', 'µs/s', cost(({processorUs}) => processorUs)),
		fleet('gossip-sent', 'B/s', cost(({sentBytes}) => sentBytes)),
		fleet('gossip-datagrams', '1/s', cost(({datagrams}) => datagrams)),
		fleet('crash-noticed-mean', 'ms', notice(({timesMs}) => mean(timesMs)), rounds),
		fleet('crash-noticed-worst', 'ms', notice(({timesMs}) => Math.max(...timesMs)), rounds),
		fleet('crash-gossip', 'B', notice(({pushedBytes}) => pushedBytes), rounds),
		fleet('domain-failure-noticed', 'ms', domainFailure(({noticedMs}) => noticedMs), domain),
		fleet('domain-failure-peak-sent', 'B/s', domainFailure(({peakBytes}) => peakBytes), domain),
		fleet('domain-failure-processor', 'µs/s', domainFailure(({processorUs}) => processorUs), {...domain, scale: 'linear'}),
		fleet('loss-suspicions', '1/h', loss(({suspicions}) => suspicions), lossSizes),
		fleet('loss-false-deaths', '1/h', loss(({deaths}) => deaths), lossSizes),
	];
};
