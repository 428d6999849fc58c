import fc from 'fast-check';
import {test} from 'tap';
import {type PromotionRequest} from '../../src/index.js';
import {
	FakeGroup, type Hook, type Moment, noFault, outcomeOf, promote, type Step, steps, turns,
} from './fake-group.js';

type Point = {step: Step; moment: Moment};

const points: Point[] = steps.flatMap(step => (['before', 'after'] as Moment[]).map(moment => ({step, moment})));

/** Holds all calls that reach a point until `release` is called. */
const holdAt = (point: Point) => {
	let release: () => void = () => undefined;
	const released = new Promise<undefined>(resolve => {
		release = () => {
			resolve(undefined);
		};
	});
	const hook: Hook = async (step, moment) => step === point.step && moment === point.moment ? released : undefined;
	return {hook, release};
};

// Guards against a paused or dead promoter that leaves two primaries, or undoes what its successor did.
for (const {wakes, cutOff} of [true, false].flatMap(wakes => [true, false].map(cutOff => ({wakes, cutOff})))) {
	test(`P2: a promoter ${wakes ? 'pauses and wakes' : 'dies'} at any step while a second one finishes; replaced primary ${cutOff ? 'cut off' : 'reachable'}`, async t => {
		const outcomes: string[] = [];
		for (const point of points) {
			const name = `${point.moment} ${point.step}`;
			const group = new FakeGroup();
			group.prompt.deliverAll();
			group.member('a').down = cutOff;
			const {hook, release} = holdAt(point);
			const first = promote(group, 'first', hook);
			await turns();
			// The replaced primary and, if there is one already, the new one go on writing.
			group.settle();
			const second = await promote(group, 'second', noFault);
			group.settle();
			if (wakes) {
				release();
			}

			outcomes.push(`${name}: ${wakes ? `${outcomeOf(await first)}, ` : ''}${outcomeOf(second)}`);
			group.member('a').down = false;
			group.settle();
			t.same(group.violations(), [], name);
			t.ok((group.prompt.acknowledged.get(Math.max(...group.termLogs.keys())) ?? 0) > 3, `${name}: the last primary serves`);
		}

		t.matchSnapshot(outcomes.join('\n'));
	});
}

// Guards against an update at the platform that took effect and is taken for failed, or the reverse.
test('P2: the request or the answer of a call of the promoter is lost', async t => {
	const outcomes = await Promise.all(points.map(async point => {
		const group = new FakeGroup();
		const result = await promote(group, 'first', async (step, moment) => step === point.step && moment === point.moment ? 'lose' : undefined);
		const retry = result.isOk() ? result : await promote(group, 'second', noFault);
		group.settle();
		t.same(group.violations(), [], point.step);
		return `${point.moment === 'before' ? 'request' : 'answer'} of ${point.step}: ${outcomeOf(result)}, ${outcomeOf(retry)}`;
	}));
	t.matchSnapshot(outcomes.join('\n'));
});

type Given = {
	order?: string[];
	/** Length of the log of each member in `order`. */
	indexes?: number[];
	inject?: (group: FakeGroup) => void;
	hook?: (group: FakeGroup) => Hook;
	request?: Partial<PromotionRequest>;
};

const down = (...ids: string[]) => (group: FakeGroup) => {
	for (const id of ids) {
		group.member(id).down = true;
	}
};

/** Calls to a frozen member never end. */
const frozen = (...ids: string[]): Hook => async (_step, _moment, id) => ids.includes(id)
	? new Promise(() => undefined) // eslint-disable-line no-promise-executor-return
	: undefined;

// Guards against a candidate that misses acknowledged entries, and against needless or unsafe promotions.
const memberCases: Array<[fault: string, outcome: string, given: Given]> = [
	['primary down', 'b in term 2', {inject: down('a')}],
	['primary down, lagging replica answers first', 'b in term 2', {order: ['c', 'b', 'a'], indexes: [2, 3, 3], inject: down('a')}],
	['primary and a replica down', 'no-majority', {inject: down('a', 'b')}],
	['primary frozen', 'b in term 2', {hook: () => frozen('a')}],
	['advanced replica frozen', 'a in term 2', {hook: () => frozen('b')}],
	['primary down, a replica fenced at a later term', 'superseded', {
		inject(group) {
			down('a')(group);
			group.member('c').enterTerm(9);
		},
	}],
	['primary down, a replica lost its log', 'no-majority', {
		inject(group) {
			down('a')(group);
			group.member('c').loseLog();
		},
	}],
	['a replica lost its log', 'a in term 2', {
		inject(group) {
			group.member('b').loseLog();
		},
	}],
	['a member that lost its log answers first', 'b in term 2', {
		order: ['c', 'b', 'a'], inject(group) {
			group.member('c').loseLog();
		},
	}],
	['longest log ends in an older term', 'b in term 3', {
		indexes: [9, 3, 3], inject(group) {
			group.member('b').log.push({term: 2, id: 1000});
			down('c')(group);
			group.record(2);
		}, request: {observedTerm: 2},
	}],
	['primary leaves, replica as advanced', 'b in term 2', {request: {avoid: ['a']}}],
	['primary leaves, replicas behind', 'a in term 2', {indexes: [3, 2, 2], request: {avoid: ['a']}}],
	['primary already replaced', 'not-needed', {request: {replaces: 'z'}}],
	['record of a later established term', 'not-needed', {request: {observedTerm: 0}}],
	['candidate loses its log before it is promoted', 'target-refused', {
		inject: down('a'), hook: group => async (step, moment) => {
			if (step === 'promoting' && moment === 'after') {
				group.member('b').loseLog();
			}

			return undefined;
		},
	}],
];

for (const [fault, outcome, {order, indexes, inject, hook, request}] of memberCases) {
	test(`P2: ${fault}: ${outcome}`, async t => {
		const group = new FakeGroup(indexes, order);
		group.prompt.deliverAll();
		inject?.(group);
		t.equal(outcomeOf(await promote(group, 'first', hook?.(group) ?? noFault, request)), outcome);
		group.settle();
		t.same(group.violations(), []);
	});
}

test('P2: no promotion without the platform, and none from a damaged record', async t => {
	const group = new FakeGroup();
	await group.platform.put('groups', 'ledger', {database: 'ledger'}, 1);
	t.equal(outcomeOf(await promote(group, 'first', noFault)), 'platform-unavailable');
	await group.platform.remove('groups', 'ledger', 2);
	t.equal(outcomeOf(await promote(group, 'first', noFault)), 'platform-unavailable');
	t.ok(group.write('a', 1), 'the primary still serves');
});

type Pending = (answer: 'lose' | undefined) => void;

/** Runs promoters, writes, replication, reports and outages in the order that `choices` gives. */
async function interleave(group: FakeGroup, choices: readonly number[]): Promise<void> {
	const pending: Pending[] = [];
	const hook: Hook = async () => new Promise(resolve => {
		pending.push(resolve);
	});
	const pick = <T>(items: readonly T[], choice: number): T => items[choice % items.length]!;
	let promoters = 0;
	const start = () => {
		promoters += 1;
		void promote(group, `host-${promoters}`, hook, {observedTerm: 99, replaces: pick(group.members, promoters).memberId});
	};

	start();
	for (const choice of choices) {
		const [kind, detail] = [choice % 32, Math.floor(choice / 32)];
		const member = pick(group.members, detail);
		if (kind < 15) {
			const [call] = pending.splice(detail % (pending.length + 1), 1);
			call?.(kind === 0 ? 'lose' : undefined);
		} else if (kind < 19) {
			group.write(member.memberId, member.fencedTerm);
		} else if (kind < 25) {
			group.pull(member.memberId);
		} else if (kind < 29) {
			pick([group.prompt, group.paused], kind).deliver(member.memberId);
		} else if (kind === 29) {
			member.down = !member.down && detail % 2 === 0;
		} else if (promoters < 5 && detail % 4 === 0) {
			start();
		}

		await turns();
	}

	// All wake in the end.
	for (const {memberId} of group.members) {
		group.member(memberId).down = false;
	}

	for (let call = pending.shift(); call; call = pending.shift()) {
		call(undefined);
		await turns();
	}

	group.settle();
}

// Guards against interleavings of promoters, writes and outages that no table lists.
for (const memberIds of [['a', 'b', 'c'], ['a', 'b', 'c', 'd', 'e']]) {
	test(`P2: racing promoters under random interleavings, group of ${memberIds.length}`, async t => {
		const seed = Number(process.env.DOGWOOD_SEED ?? 20_261_204);
		const numRuns = Number(process.env.DOGWOOD_RUNS ?? 400);
		t.comment(`DOGWOOD_SEED=${seed} DOGWOOD_RUNS=${numRuns}`);
		let later = 0;
		await fc.assert(fc.asyncProperty(fc.array(fc.nat(32 * 60), {minLength: 100, maxLength: 300, size: 'max'}), async choices => {
			const group = new FakeGroup(memberIds.map((_, index) => index < 2 ? 3 : 2), memberIds);
			await interleave(group, choices);
			const violations = group.violations();
			later += [...group.prompt.acknowledged].some(([term, index]) => term > 1 && index > 0) ? 1 : 0;
			if (violations.length > 0) {
				throw new Error(violations.join('; '));
			}
		}), {seed, numRuns});
		t.comment(`${later} of ${numRuns} runs acknowledged writes of a later term`);
		t.ok(later > numRuns / 10, 'enough runs reach a later term');
	});
}
