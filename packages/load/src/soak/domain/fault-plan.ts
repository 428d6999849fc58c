import {type SeededRandom} from '../../workload/index.js';

/** Kinds of faults by the component that they affect. Those of `planned` are part of normal operation. */
export const faultKinds = {
	host: ['kill', 'pause', 'clock-step'],
	storeLink: ['silence', 'reset', 'cut-to-server', 'cut-to-client', 'delay'],
	clientLink: ['reset', 'cut-to-client', 'delay'],
	instanceLink: ['silence', 'reset', 'cut-to-server', 'cut-to-client', 'delay'],
	store: ['busy', 'silent', 'slow', 'lose-answers', 'forget-history'],
	instance: ['crash', 'dark', 'deaf', 'lose-answers', 'slow-work'],
	fleet: ['kill-many'],
	planned: ['stop', 'rolling-stop', 'reload', 'add-database', 'configuration-storm', 'drain-instance'],
} as const;

export type FaultTarget = keyof typeof faultKinds;

export type PlannedFault = {
	atMs: number;
	target: FaultTarget;
	kind: string;
	/** Selects the affected host or instance, modulo their number. */
	targetIndex: number;
	durationMs: number;
};

const meanFaultIntervalMs = 1500;
const maxFaultDurationMs = 6000;
const minFaultDurationMs = 200;
/** Share of the faults that start a burst: each further fault of the same kind begins when the previous one is half over. */
const burstShare = 0.25;
const maxBurstLength = 4;
/** Share of the runs with planned operations only. The time limits of planned operations are checked only where no other fault interferes. */
const plannedOnlyShare = 0.2;

/** Plans the faults of a run, which are the same for the same seed. Faults come in bursts and overlap. */
export function planFaults(random: SeededRandom, durationMs: number): PlannedFault[] {
	const isPlannedOnly = random.fraction() < plannedOnlyShare;
	const targets = (isPlannedOnly ? ['planned'] : Object.keys(faultKinds)) as FaultTarget[];
	const faults: PlannedFault[] = [];
	for (let atMs = random.arrivalGapMs(1000 / meanFaultIntervalMs); atMs < durationMs; atMs += random.arrivalGapMs(1000 / meanFaultIntervalMs)) {
		const target = random.pick(targets)!;
		const fault = {
			atMs, target, kind: random.pick<string>(faultKinds[target])!, targetIndex: random.int(0, 1000), durationMs: random.int(minFaultDurationMs, maxFaultDurationMs),
		};
		const count = random.fraction() < burstShare ? random.int(2, maxBurstLength) : 1;
		faults.push(...Array.from({length: count}, (_, index) => ({...fault, atMs: atMs + (index * fault.durationMs / 2), targetIndex: fault.targetIndex + index})));
	}

	return faults.filter(fault => fault.atMs < durationMs).toSorted((a, b) => a.atMs - b.atMs);
}

const restoreOutageMs = {min: 100, max: 2000};

/** Plans restores of the store from copies of different age; `targetIndex` selects the copy. A plan of its own keeps the other faults of a seed the same. */
export function planRestores(random: SeededRandom, durationMs: number, count: number): PlannedFault[] {
	return Array.from({length: count}, () => ({
		atMs: random.fraction() * durationMs,
		target: 'store' as const,
		kind: 'restored',
		targetIndex: random.int(0, 1000),
		durationMs: random.int(restoreOutageMs.min, restoreOutageMs.max),
	}));
}

const finalOutageMs = {min: 1000, max: 4500};
const finalChangeDelaysMs = [100, 600];

/**
 * Plans the faults at the end of a run: an outage of the store, and configuration changes right after it. They exercise
 * the time limit for applying a configuration, because random faults seldom leave an undisturbed period that is long
 * enough to check it.
 */
export function planFinalFaults(random: SeededRandom): {faults: PlannedFault[]; outageEndMs: number} {
	const durationMs = random.int(finalOutageMs.min, finalOutageMs.max);
	const outage = {
		atMs: 0, target: 'store' as const, kind: random.pick(['silent', 'silence-connections'])!, targetIndex: 0, durationMs,
	};
	const changes = finalChangeDelaysMs.map(delayMs => ({
		atMs: durationMs + delayMs, target: 'planned' as const, kind: 'add-database', targetIndex: 0, durationMs: 0,
	}));
	return {faults: [outage, ...changes], outageEndMs: durationMs};
}
