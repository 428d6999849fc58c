import fc from 'fast-check';
import {test} from 'tap';
import {type PromotionRequest} from '../../src/index.js';
import {
	FakeGroup, type Hook, type HookTiming, withoutFaults, outcomeOf, promote, type Step, steps, flushPromises,
} from './fake-group.js';

type HookPoint = {step: Step; timing: HookTiming};

const points: HookPoint[] = steps.flatMap(step => (['before', 'after'] as HookTiming[]).map(timing => ({step, timing})));

/** Suspends all calls that reach a point until `release` is called. */
const pauseAt = (point: HookPoint) => {
	let release: () => void = () => undefined;
	const released = new Promise<undefined>(resolve => {
		release = () => {
			resolve(undefined);
		};
	});
	const hook: Hook = async (step, timing) => step === point.step && timing === point.timing ? released : undefined;
	return {hook, release};
};

// Guards against a suspended or crashed promoter that leaves two primaries or undoes the work of its successor.
for (const {resumes, cutOff} of [true, false].flatMap(resumes => [true, false].map(cutOff => ({resumes, cutOff})))) {
	test(`P2: a promoter ${resumes ? 'is suspended and resumes' : 'crashes'} at any step while a second one finishes; replaced primary ${cutOff ? 'cut off' : 'reachable'}`, async t => {
		const outcomes: string[] = [];
		for (const point of points) {
			const name = `${point.timing} ${point.step}`;
			const group = new FakeGroup();
			group.prompt.deliverAll();
			group.member('a').down = cutOff;
			const {hook, release} = pauseAt(point);
			const first = promote(group, 'first', hook);
			await flushPromises();
			// The replaced primary and, if it is already promoted, the new one continue to write.
			group.writeAndReplicate();
			const second = await promote(group, 'second', withoutFaults);
			group.writeAndReplicate();
			if (resumes) {
				release();
			}

			outcomes.push(`${name}: ${resumes ? `${outcomeOf(await first)}, ` : ''}${outcomeOf(second)}`);
			group.member('a').down = false;
			group.writeAndReplicate();
			t.same(group.violations(), [], name);
			t.ok((group.prompt.acknowledged.get(Math.max(...group.termLogs.keys())) ?? 0) > 3, `${name}: the last primary serves`);
		}

		t.matchSnapshot(outcomes.join('\n'));
	});
}

// Guards against treating a platform update that took effect as failed, and the reverse.
test('P2: the request or the answer of a call of the promoter is lost', async t => {
	const outcomes = await Promise.all(points.map(async point => {
		const group = new FakeGroup();
		const result = await promote(group, 'first', async (step, timing) => step === point.step && timing === point.timing ? 'lose' : undefined);
		const retry = result.isOk() ? result : await promote(group, 'second', withoutFaults);
		group.writeAndReplicate();
		t.same(group.violations(), [], point.step);
		return `${point.timing === 'before' ? 'request' : 'answer'} of ${point.step}: ${outcomeOf(result)}, ${outcomeOf(retry)}`;
	}));
	t.matchSnapshot(outcomes.join('\n'));
});

type MemberCase = {
	order?: string[];
	/** Log length of each member, in the order of `order`. */
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

/** Makes calls to the given members hang forever. */
const frozen = (...ids: string[]): Hook => async (_step, _moment, id) => ids.includes(id)
	? new Promise(() => undefined) // eslint-disable-line no-promise-executor-return
	: undefined;

// Guards against choosing a candidate that lacks acknowledged entries, and against unnecessary or unsafe promotions.
const memberCases: Array<[fault: string, outcome: string, given: MemberCase]> = [
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
			group.member('c').restartWithoutLog();
		},
	}],
	['a replica lost its log', 'a in term 2', {
		inject(group) {
			group.member('b').restartWithoutLog();
		},
	}],
	['a member that lost its log answers first', 'b in term 2', {
		order: ['c', 'b', 'a'], inject(group) {
			group.member('c').restartWithoutLog();
		},
	}],
	['longest log ends in an older term', 'b in term 3', {
		indexes: [9, 3, 3], inject(group) {
			group.member('b').log.push({term: 2, id: 1000});
			down('c')(group);
			group.record(2);
		}, request: {observedTerm: 2},
	}],
	['primary leaves, replica as advanced', 'b in term 2', {request: {avoidedMemberIds: ['a']}}],
	['primary leaves, replicas behind', 'a in term 2', {indexes: [3, 2, 2], request: {avoidedMemberIds: ['a']}}],
	['primary already replaced', 'not-needed', {request: {replaces: 'z'}}],
	['record of a later established term', 'not-needed', {request: {observedTerm: 0}}],
	['candidate loses its log before it is promoted', 'target-refused', {
		inject: down('a'), hook: group => async (step, timing) => {
			if (step === 'promoting' && timing === 'after') {
				group.member('b').restartWithoutLog();
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
		t.equal(outcomeOf(await promote(group, 'first', hook?.(group) ?? withoutFaults, request)), outcome);
		group.writeAndReplicate();
		t.same(group.violations(), []);
	});
}

test('P2: no promotion without the platform, and none from a damaged record', async t => {
	const group = new FakeGroup();
	await group.platform.put('groups', 'ledger', {database: 'ledger'}, 1);
	t.equal(outcomeOf(await promote(group, 'first', withoutFaults)), 'platform-unavailable');
	await group.platform.remove('groups', 'ledger', 2);
	t.equal(outcomeOf(await promote(group, 'first', withoutFaults)), 'platform-unavailable');
	t.ok(group.write('a', 1), 'the primary still serves');
});

type Pending = (answer: 'lose' | undefined) => void;

/** Runs promoters, writes, replication, status reports and outages interleaved as determined by `choices`. */
async function runInterleaved(group: FakeGroup, choices: readonly number[]): Promise<void> {
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
			group.replicateEntry(member.memberId);
		} else if (kind < 29) {
			pick([group.prompt, group.paused], kind).deliver(member.memberId);
		} else if (kind === 29) {
			member.down = !member.down && detail % 2 === 0;
		} else if (promoters < 5 && detail % 4 === 0) {
			start();
		}

		await flushPromises();
	}

	// Finally, all members are reachable and all suspended calls continue.
	for (const {memberId} of group.members) {
		group.member(memberId).down = false;
	}

	for (let call = pending.shift(); call; call = pending.shift()) {
		call(undefined);
		await flushPromises();
	}

	group.writeAndReplicate();
}

// Guards against violations under interleavings of promoters, writes and outages that the tables above do not list.
for (const memberIds of [['a', 'b', 'c'], ['a', 'b', 'c', 'd', 'e']]) {
	test(`P2: racing promoters under random interleavings, group of ${memberIds.length}`, async t => {
		const seed = Number(process.env.DOGWOOD_SEED ?? 20_261_204);
		const numRuns = Number(process.env.DOGWOOD_RUNS ?? 400);
		t.comment(`DOGWOOD_SEED=${seed} DOGWOOD_RUNS=${numRuns}`);
		let laterTermRuns = 0;
		await fc.assert(fc.asyncProperty(fc.array(fc.nat(32 * 60), {minLength: 100, maxLength: 300, size: 'max'}), async choices => {
			const group = new FakeGroup(memberIds.map((_, index) => index < 2 ? 3 : 2), memberIds);
			await runInterleaved(group, choices);
			const violations = group.violations();
			laterTermRuns += [...group.prompt.acknowledged].some(([term, index]) => term > 1 && index > 0) ? 1 : 0;
			if (violations.length > 0) {
				throw new Error(violations.join('; '));
			}
		}), {seed, numRuns});
		t.comment(`${laterTermRuns} of ${numRuns} runs acknowledged writes of a later term`);
		t.ok(laterTermRuns > numRuns / 10, 'enough runs reach a later term');
	});
}

// Guards against a promotion that fences or chooses an isolated primary, whose log is the longest, and against a record
// that names a primary which no promoter has chosen in the term.
test('P2: an excluded primary gets no fence, and the record names it until another one is chosen', async t => {
	const group = new FakeGroup([5, 3, 3]);
	const fencedMembers: string[] = [];
	const recorded: unknown[] = [];
	const result = await promote(group, 'first', async (step, timing, memberId) => {
		if (step === 'fence' && timing === 'before') {
			fencedMembers.push(memberId);
		}

		if ((step === 'fencing' || step === 'promoting') && timing === 'after') {
			const object = await group.platform.get('groups', 'ledger');
			const {phase, primary} = object._unsafeUnwrap().value as {phase: string; primary: string};
			recorded.push({phase, primary});
		}

		return undefined;
	}, {excludedMemberIds: ['a']});
	t.equal(outcomeOf(result), 'b in term 2');
	t.same(fencedMembers, ['b', 'c']);
	t.same(recorded, [{phase: 'fencing', primary: 'a'}, {phase: 'promoting', primary: 'b'}]);
	group.writeAndReplicate();
	t.same(group.violations(), []);
});
