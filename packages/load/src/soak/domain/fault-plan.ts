import {type SeededRandom} from '../../workload/index.js';

/** Faults by what they strike. Those of `planned` are part of normal operation. */
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
	/** Chooses which host or instance is struck. */
	victim: number;
	durationMs: number;
};

const meanGapMs = 1500;
const longestMs = 6000;
const shortestMs = 200;
/** Part of the faults that come in a series of the same kind, while the first one still lasts. */
const seriesShare = 0.25;
const longestSeries = 4;
/** Part of the runs in which only planned work happens, so that the bounds of planned work are checked. */
const calmShare = 0.2;

/** Faults of a run; the same for the same seed. They come in series and overlap. */
export function planFaults(random: SeededRandom, durationMs: number): PlannedFault[] {
	const isCalm = random.fraction() < calmShare;
	const targets = (isCalm ? ['planned'] : Object.keys(faultKinds)) as FaultTarget[];
	const faults: PlannedFault[] = [];
	for (let atMs = random.arrivalGapMs(1000 / meanGapMs); atMs < durationMs; atMs += random.arrivalGapMs(1000 / meanGapMs)) {
		const target = random.pick(targets)!;
		const fault = {
			atMs, target, kind: random.pick<string>(faultKinds[target])!, victim: random.int(0, 1000), durationMs: random.int(shortestMs, longestMs),
		};
		const count = random.fraction() < seriesShare ? random.int(2, longestSeries) : 1;
		faults.push(...Array.from({length: count}, (_, index) => ({...fault, atMs: atMs + (index * fault.durationMs / 2), victim: fault.victim + index})));
	}

	return faults.filter(fault => fault.atMs < durationMs).toSorted((a, b) => a.atMs - b.atMs);
}

const closingOutageMs = {shortest: 1000, longest: 4500};
const closingChangesAfterMs = [100, 600];

/**
 * Faults that end a run: the store hears nothing for a while, and the configuration changes just after it. Random faults
 * seldom leave the hosts the calm that the bound of a configuration needs.
 */
export function planClosingFaults(random: SeededRandom): {faults: PlannedFault[]; healedAtMs: number} {
	const durationMs = random.int(closingOutageMs.shortest, closingOutageMs.longest);
	const outage = {
		atMs: 0, target: 'store' as const, kind: random.pick(['silent', 'silence-connections'])!, victim: 0, durationMs,
	};
	const changes = closingChangesAfterMs.map(afterMs => ({
		atMs: durationMs + afterMs, target: 'planned' as const, kind: 'add-database', victim: 0, durationMs: 0,
	}));
	return {faults: [outage, ...changes], healedAtMs: durationMs};
}
