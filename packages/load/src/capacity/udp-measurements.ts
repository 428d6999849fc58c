import {setTimeout} from 'node:timers/promises';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {UdpDatagramTransport} from '@dogwoodthread/proxy';
import {type Measurement} from './definitions.js';
import {shareRuns} from './shared-run.js';
import {GossipFleet} from './gossip-fleet.js';
import {seededRandom} from './random.js';
import {processorTimeUs} from './resources.js';

// Largest first: it has the compiler optimize the paths before the small fleets are measured.
const sizes = [100, 30, 9];
const observedMs = 15_000;
const joinBoundMs = 60_000;

type Outcome = {processorUs: number; sentBytes: number; falseDeaths: number};

const waitUntilConverged = async (fleet: GossipFleet): Promise<void> => {
	const deadlineMs = performance.now() + joinBoundMs;
	while (!fleet.isConverged()) {
		if (performance.now() > deadlineMs) {
			throw new Error(`${fleet.members.length} members over UDP did not find each other within ${joinBoundMs} ms.`);
		}

		await setTimeout(100);
	}
};

const measureFleet = async (size: number, seed: number): Promise<Outcome> => {
	const timers = new SystemTimerService();
	const fleet = new GossipFleet({
		timers, random: seededRandom(seed), createTransport: async () => UdpDatagramTransport.create({address: '127.0.0.1:0'}),
	});
	await fleet.start(size);
	await waitUntilConverged(fleet);
	// Updates of the start are sent out before the observation.
	await setTimeout(10_000);
	const beforeBytes = fleet.sent().bytes;
	const startMs = performance.now();
	const usedUs = await processorTimeUs(async () => setTimeout(observedMs));
	const memberSeconds = size * (performance.now() - startMs) / 1000;
	const outcome = {
		processorUs: usedUs / memberSeconds,
		sentBytes: (fleet.sent().bytes - beforeBytes) / memberSeconds,
		falseDeaths: fleet.count('deathsDeclared'),
	};
	await fleet.stop();
	timers.close();
	return outcome;
};

/** Cost of gossip over UDP with all members in this process; it includes the system's network stack. */
export const createUdpMeasurements = (seed: number): Measurement[] => {
	const outcome = shareRuns(async size => measureFleet(size, seed));
	const measurement = (name: string, unit: string, select: (outcome: Outcome) => number): Measurement => ({
		name, unit, sizeUnit: 'member', sizes, scale: 'linear', measure: outcome(select),
	});
	return [
		measurement('udp-processor', 'µs/s', ({processorUs}) => processorUs),
		measurement('udp-sent', 'B/s', ({sentBytes}) => sentBytes),
		measurement('udp-false-deaths', 'deaths', ({falseDeaths}) => falseDeaths),
	];
};
