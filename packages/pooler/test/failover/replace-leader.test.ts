import {MemoryPlatform} from '@dogwoodthread/coordination';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import {
	type FailoverReason, type HeldLease, type PromotionService, ReplaceLeader, TermAnnouncements,
} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

type Case = {
	name: string;
	reason: FailoverReason;
	arrange: (fixture: GroupFixture) => void;
	/** Endpoint that must lead afterwards; undefined if nobody may be promoted. */
	promoted: string | undefined;
};

const cases: Case[] = [
	{
		name: 'leaving primary, replicas up to date', reason: 'leader-draining', arrange() {/* Nothing. */}, promoted: 'r1',
	},
	{
		name: 'leaving primary, one replica behind', reason: 'leader-draining', promoted: 'r2',
		arrange(fixture) {
			fixture.replica(1).log = {term: 1, index: 5};
		},
	},
	{
		name: 'dead primary, replicas differ', reason: 'leader-unreachable', promoted: 'r2',
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.replica(1).log = {term: 1, index: 9};
		},
	},
	{
		name: 'dead primary, one replica out of reach', reason: 'leader-unreachable', promoted: undefined,
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.replica(2).isReachable = false;
		},
	},
	{
		name: 'isolated primary with a longer log', reason: 'leader-isolated', promoted: 'r1',
		arrange(fixture) {
			fixture.primary.log = {term: 1, index: 70};
		},
	},
	{
		name: 'isolated primary, one replica out of reach: the old one leads again', reason: 'leader-isolated', promoted: 'p',
		arrange(fixture) {
			fixture.primary.log = {term: 1, index: 70};
			fixture.replica(2).isReachable = false;
		},
	},
	{
		name: 'dead primary, longest replica leaves', reason: 'leader-unreachable', promoted: undefined,
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.replica(1).log = {term: 1, index: 5};
			fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, state: 'draining'} : endpoint));
		},
	},
	{
		name: 'dead primary, a replica that has just started again without its log', reason: 'leader-unreachable', promoted: undefined,
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, startedUnixMs: fixture.timers.wallClockMs() - 500} : endpoint));
		},
	},
];

type Outcome = {promoted?: string; tokens: number[]; fenced: number[]};

async function replace(fixture: GroupFixture, reason: FailoverReason, isValid = () => true, platform = new MemoryPlatform()): Promise<Outcome> {
	const tokens: number[] = [];
	const promotions: PromotionService = {
		promote({endpointId, fencingToken}) {
			tokens.push(fencingToken);
			const fake = fixture.fakes.get(endpointId)!;
			if (!fake.isReachable) {
				return errAsync({kind: 'not-running', message: 'not running', outcomeKnown: true});
			}

			// A promotion ends the fence of the endpoint that it names.
			fake.fencedTerm = 0;
			fake.role = 'primary';
			fake.term = fixture.group.term + 1;
			return okAsync(undefined);
		},
	};
	const lease: HeldLease = {fencingToken: 7, isValid, async release() {/* Not needed. */}};
	const run = new ReplaceLeader({
		group: fixture.group, reason, lease, promotions, announcements: new TermAnnouncements(platform), timers: fixture.timers, events: fixture.events, hostId: 'h1',
	}).run();
	const result = await fixture.advanceUntilSettled(run);
	return {
		promoted: result.isOk() ? result.value.id : undefined,
		tokens,
		fenced: [...fixture.fakes.values()].filter(({isReachable}) => isReachable).map(({fencedTerm}) => fencedTerm),
	};
}

for (const {name, reason, arrange, promoted} of cases) {
	// Guards against a promotion that loses an acknowledged commit, and against replicas that stay fenced.
	test(name, async t => {
		const fixture = await new GroupFixture().start();
		arrange(fixture);
		await fixture.advance(100);
		const outcome = await replace(fixture, reason);
		t.equal(outcome.promoted, promoted);
		t.strictSame(outcome.tokens, promoted ? [7] : []);
		t.ok(outcome.fenced.every(term => term === 0), 'nobody stays fenced');
	});
}

// Guards against a promotion while a replica receives from the old primary again: an instance that was suspended finds
// the command that lifted an earlier fence only after the new fence.
test('a fence that is lifted during the promotion ends it', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	await fixture.advance(100);
	fixture.timers.after(800, () => {
		fixture.replica(1).fencedTerm = 0;
	});
	const outcome = await replace(fixture, 'leader-unreachable');
	t.same([outcome.promoted, outcome.tokens], [undefined, []]);
});

// Guards against a replica that receives nothing for good because the answer to its fence was lost (soak, seed 4: the
// instances did not come to the same log).
test('a replica whose answer to the fence is lost is resumed', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	fixture.replica(2).faults.set('fence', ['run-then-silent']);
	await fixture.advance(100);
	const outcome = await replace(fixture, 'leader-unreachable');
	await fixture.advance(600);
	t.equal(outcome.promoted, undefined);
	t.equal(fixture.replica(2).fencedTerm, 0);
});

// Guards against a promoter that was frozen and orders a promotion under a lease that others hold by now.
test('a lease that ran out orders nothing', async t => {
	const fixture = await new GroupFixture().start();
	const outcome = await replace(fixture, 'leader-draining', () => false);
	t.same(outcome, {promoted: undefined, tokens: [], fenced: [0, 0, 0]});
});

// Guards against a host that still trusts a primary which the promoter could not reach.
test('after fencing without a confirmed step-down, the evidence of all hosts runs out first', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	await fixture.advance(100);
	const startedMs = fixture.timers.nowMs();
	await replace(fixture, 'leader-unreachable');
	const promote = fixture.events.eventsNamed('promotion-step').findIndex(({step}) => step === 'promote');
	t.ok(promote > 0);
	t.ok(fixture.timers.nowMs() - startedMs >= 1000, '500 ms for the step-down, 500 ms for the evidence');
});

// Guards against the loss of commits that only a replica which has left since had acknowledged (hunt on
// molde-quito, day hunt-b313-3: ten commits lost after the release of a primary and a power loss of all hosts).
test('nobody is promoted who lacks what a departed member may have acknowledged', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.log = {term: 1, index: 30};
	await fixture.advance(100);
	const platform = new MemoryPlatform();
	await new TermAnnouncements(platform).noteDeparture('ledger', 'r0', {term: 1, index: 28});
	t.equal((await replace(fixture, 'leader-isolated', undefined, platform)).promoted, undefined);
	t.equal(fixture.primary.role, 'primary', 'the primary was not told to step down');
	fixture.replica(2).log = {term: 1, index: 28};
	await fixture.advance(3000);
	t.equal((await replace(fixture, 'leader-isolated', undefined, platform)).promoted, 'r2');
});

// Guards against a departure that nobody notes: its position is the primary's after the member is gone.
test('the departure of a member is told with the primary\'s position', async t => {
	const fixture = await new GroupFixture().start();
	const draining = fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, state: 'draining' as const} : endpoint);
	fixture.updateEndpoints(draining);
	fixture.primary.log = {term: 1, index: 33};
	fixture.updateEndpoints(draining.filter(({endpointId}) => endpointId !== 'r2'));
	await fixture.advance(100);
	t.same(fixture.departures, [{memberId: 'r2@0', position: {term: 1, index: 33}}]);
});

// Guards against a member that starts again under its id, without the log that it alone had acknowledged.
test('a member that started again counts as departed', async t => {
	const fixture = await new GroupFixture().start();
	const restarted = fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, startedUnixMs: 7} : endpoint);
	fixture.updateEndpoints(restarted);
	await fixture.advance(100);
	t.same(fixture.departures, [{memberId: 'r2@0', position: {term: 1, index: 10}}]);
});
