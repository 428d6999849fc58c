import {test} from 'tap';
import {ManualTimerService, ReplicaSelector, type ReplicaCandidate} from '../../src/index.js';
import {createRandom} from '../admission/simulation.js';

const seed = Number(process.env.SEED ?? 20_261);
const replica = (memberId: string, change: Partial<ReplicaCandidate> = {}): ReplicaCandidate => ({
	memberId, failureDomain: 'far', isEligible: true, ageBoundMs: 50, inFlight: 2, latencyMs: 5, ...change,
});
const createSelector = (timers: ManualTimerService, random = createRandom(seed)) =>
	new ReplicaSelector({timers, random, failureDomain: 'near'});
/** Chooses `times` times at intervals of `stepMs`. Returns a function that gives the share of a member. */
const shares = (choose: () => string | undefined, times: number, timers: ManualTimerService, stepMs = 1) => {
	const counts = new Map<string, number>();
	for (let index = 0; index < times; index++) {
		const chosen = choose() ?? 'none';
		counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
		timers.advance(stepMs);
	}

	return (memberId: string) => (counts.get(memberId) ?? 0) / times;
};

// Guards against routing reads to replicas that may not serve them.
test('only eligible replicas within the age bound are chosen', t => {
	const selector = createSelector(new ManualTimerService());
	const candidates = [replica('a', {isEligible: false}), replica('b', {ageBoundMs: 30_000}), replica('c')];
	t.equal(selector.select(candidates, 1000)?.memberId, 'c');
	t.equal(selector.select(candidates.slice(0, 2), 1000), undefined);
	t.end();
});

// Guards against unequal shares for equal replicas.
test('choices spread over equal replicas', t => {
	const timers = new ManualTimerService();
	const selector = createSelector(timers);
	const share = shares(() => selector.select(['a', 'b', 'c'].map(id => replica(id)))?.memberId, 6000, timers);
	t.comment(`seed ${seed}: ${share('a').toFixed(3)} ${share('b').toFixed(3)} ${share('c').toFixed(3)}`);
	t.ok(['a', 'b', 'c'].every(id => Math.abs(share(id) - (1 / 3)) < 0.05));
	t.end();
});

// Guards against herding: several owners that all send their reads to the replica that an outdated report shows as idle.
test('old load information does not make owners herd', t => {
	const timers = new ManualTimerService();
	const owners = Array.from({length: 6}, (_, index) => createSelector(timers, createRandom(seed + index)));
	const ids = ['a', 'b', 'c', 'd'];
	const run = (choose: (owner: number, reported: ReplicaCandidate[]) => string) => {
		const load = new Map(ids.map(id => [id, 0]));
		let reported = ids.map(id => replica(id));
		let worst = 0;
		for (let nowMs = 0; nowMs < 4000; nowMs++) {
			if (nowMs % 100 === 0) {
				reported = ids.map(id => replica(id, {inFlight: Math.round(load.get(id)!)}));
			}

			for (const owner of owners.keys()) {
				const id = choose(owner, reported);
				load.set(id, load.get(id)! + 1);
			}

			// Each replica completes two reads per ms, so that the load is three quarters of the capacity.
			for (const id of ids) {
				load.set(id, Math.max(0, load.get(id)! - 2));
			}

			worst = Math.max(worst, ...load.values());
			timers.advance(1);
		}

		return worst;
	};

	const selected = run((owner, reported) => owners[owner]!.select(reported)!.memberId);
	const leastLoaded = run((_, reported) => reported.toSorted((a, b) => a.inFlight - b.inFlight).at(0)!.memberId);
	const random = createRandom(seed);
	const uniform = run(() => ids[Math.floor(random() * ids.length)]!);
	t.comment(`seed ${seed}: longest queue ${selected}, least loaded ${leastLoaded}, uniform ${uniform}`);
	t.ok(selected < leastLoaded / 2, 'less than half of that of choosing the least loaded');
	t.ok(selected <= uniform * 1.5, 'not much over that of choosing without load information');
	t.end();
});

// Guards against sending most reads at once to a recovered replica, which is idle and has an outdated latency estimate.
test('a recovered replica gets its share step by step', t => {
	const timers = new ManualTimerService();
	const selector = createSelector(timers);
	const choose = (eligible: boolean) => () =>
		selector.select([replica('a', {inFlight: 6}), replica('b', {inFlight: 6}), replica('back', {isEligible: eligible, inFlight: 0})])?.memberId;
	shares(choose(false), 1000, timers);
	const first = shares(choose(true), 500, timers)('back');
	const second = shares(choose(true), 500, timers)('back');
	shares(choose(true), 1500, timers);
	const later = shares(choose(true), 500, timers)('back');
	t.comment(`seed ${seed}: share ${first.toFixed(3)}, ${second.toFixed(3)}, then ${later.toFixed(3)}`);
	t.ok(first <= 1 / 3, 'at most an equal share at first');
	t.ok(second > first);
	t.ok(later > 1 / 3, 'more than the loaded ones in the end');
	t.end();
});

// Guards against unnecessary reads from far replicas, against staying with a slow near replica, and against
// flapping between the two.
test('near first, with hysteresis', t => {
	const timers = new ManualTimerService();
	const selector = createSelector(timers);
	const farShare = (nearLatencyMs: number) => {
		const share = shares(() => selector.select([
			replica('near', {failureDomain: 'near', latencyMs: nearLatencyMs}), replica('far-1'), replica('far-2'),
		])?.memberId, 200, timers, 30);
		return 1 - share('near');
	};

	const steps = [5, 8, 20, 8, 5, 5].map(latencyMs => farShare(latencyMs));
	t.comment(`seed ${seed}: far share for near latency 5, 8, 20, 8, 5, 5 ms: ${JSON.stringify(steps)}`);
	t.equal(steps[0], 0, 'equal: near');
	t.equal(steps[1], 0, 'a little slower: still near');
	t.ok(steps[2]! > 0.5, 'four times slower: mostly far');
	t.ok(steps[3]! > 0.5, 'a little slower again: stays far');
	t.equal(steps[5], 0, 'equal again: near');
	t.end();
});
