import {MemoryPlatform} from '@dogwoodthread/coordination';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import {
	type FailoverReason, type HeldLease, type PromotionService, ReplaceLeader, UnseenOrders,
} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';
import {createPromotionRecords} from '../fixtures/promotion-records.js';

type Case = {
	name: string;
	reason: FailoverReason;
	arrange: (fixture: GroupFixture) => void;
	/** Endpoint that must be primary afterwards; undefined if no member may be promoted. */
	promoted: string | undefined;
};

const cases: Case[] = [
	{
		name: 'draining primary, replicas up to date', reason: 'leader-draining', arrange() {/* Nothing. */}, promoted: 'r1',
	},
	{
		name: 'draining primary, one replica behind', reason: 'leader-draining', promoted: 'r2',
		arrange(fixture) {
			fixture.replica(1).log = {term: 1, index: 5};
		},
	},
	{
		name: 'unreachable primary, replicas with different logs', reason: 'leader-unreachable', promoted: 'r2',
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.replica(1).log = {term: 1, index: 9};
		},
	},
	{
		name: 'unreachable primary, one replica unreachable', reason: 'leader-unreachable', promoted: undefined,
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
		name: 'isolated primary, one replica unreachable: the old primary is promoted again', reason: 'leader-isolated', promoted: 'p',
		arrange(fixture) {
			fixture.primary.log = {term: 1, index: 70};
			fixture.replica(2).isReachable = false;
		},
	},
	{
		name: 'unreachable primary, replica with the longest log is draining', reason: 'leader-unreachable', promoted: undefined,
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.replica(1).log = {term: 1, index: 5};
			fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, state: 'draining'} : endpoint));
		},
	},
	{
		name: 'unreachable primary, one replica restarted a moment ago without its log', reason: 'leader-unreachable', promoted: undefined,
		arrange(fixture) {
			fixture.primary.isReachable = false;
			fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, startedUnixMs: fixture.timers.wallClockMs() - 500} : endpoint));
		},
	},
];

type Outcome = {promoted?: string; tokens: number[]; fenced: number[]};

async function replace(
	fixture: GroupFixture,
	reason: FailoverReason,
	isValid = () => true,
	platform = new MemoryPlatform(),
	unseenOrders = new UnseenOrders(fixture.timers, 'h1'),
): Promise<Outcome> {
	const tokens: number[] = [];
	const promotionService: PromotionService = {
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
	const replacement = new ReplaceLeader({
		group: fixture.group, reason, lease, promotionService, promotionRecords: createPromotionRecords(platform, fixture.timers), unseenOrders, timers: fixture.timers, events: fixture.events, hostId: 'h1',
	}).run();
	const result = await fixture.advanceUntilSettled(replacement);
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
		t.ok(outcome.fenced.every(term => term === 0), 'no member stays fenced');
	});
}

// Guards against a promotion while a replica receives from the old primary again. An instance that was suspended may
// process a command that lifts an earlier fence only after it was fenced anew.
test('a promotion is abandoned if a fence is lifted before it is ordered', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	await fixture.advance(100);
	fixture.timers.after(800, () => {
		fixture.replica(1).fencedTerm = 0;
	});
	const outcome = await replace(fixture, 'leader-unreachable');
	t.same([outcome.promoted, outcome.tokens], [undefined, []]);
});

// Guards against a replica that stays fenced and receives nothing because the answer to its fence command was lost. The
// logs of the instances then never became equal (soak, seed 4).
test('a replica whose answer to the fence command was lost is resumed', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	fixture.replica(2).faults.set('fence', ['run-then-silent']);
	await fixture.advance(100);
	const outcome = await replace(fixture, 'leader-unreachable');
	await fixture.advance(600);
	t.equal(outcome.promoted, undefined);
	t.equal(fixture.replica(2).fencedTerm, 0);
});

// Guards against a promoter that was suspended and orders a promotion under a lease that another host holds by now.
test('no promotion is ordered under an expired lease', async t => {
	const fixture = await new GroupFixture().start();
	const outcome = await replace(fixture, 'leader-draining', () => false);
	t.same(outcome, {promoted: undefined, tokens: [], fenced: [0, 0, 0]});
});

// Guards against a promotion while another host still trusts the old primary, which the promoter could not reach.
test('without a confirmed step-down, the promotion waits until the leadership evidence of all hosts has expired', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	await fixture.advance(100);
	const startedMs = fixture.timers.nowMs();
	await replace(fixture, 'leader-unreachable');
	const promote = fixture.events.eventsNamed('promotion-step').findIndex(({step}) => step === 'promote');
	t.ok(promote > 0);
	t.ok(fixture.timers.nowMs() - startedMs >= 1000, '500 ms for the step-down, 500 ms for the evidence');
});

// Guards against the loss of commits that only a replica that has departed since had acknowledged. Ten commits were lost
// in this way after a primary was removed and all hosts lost power (fault search on molde-quito, day hunt-b313-3).
test('no member is promoted that lacks commits which a departed member may have acknowledged', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.log = {term: 1, index: 30};
	await fixture.advance(100);
	const platform = new MemoryPlatform();
	await createPromotionRecords(platform, fixture.timers).recordDeparture('ledger', 'r0', {term: 1, index: 28});
	t.equal((await replace(fixture, 'leader-isolated', undefined, platform)).promoted, undefined);
	t.equal(fixture.primary.role, 'primary', 'the primary was not told to step down');
	fixture.replica(2).log = {term: 1, index: 28};
	await fixture.advance(3000);
	t.equal((await replace(fixture, 'leader-isolated', undefined, platform)).promoted, 'r2');
});

// Guards against a departure that is not recorded. The recorded position is the primary's after the departure.
test('the departure of a member is reported with the position of the primary', async t => {
	const fixture = await new GroupFixture().start();
	const draining = fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, state: 'draining' as const} : endpoint);
	fixture.updateEndpoints(draining);
	fixture.primary.log = {term: 1, index: 33};
	fixture.updateEndpoints(draining.filter(({endpointId}) => endpointId !== 'r2'));
	await fixture.advance(100);
	t.same(fixture.departures, [{memberId: 'r2@0', position: {term: 1, index: 33}}]);
});

// Guards against a member that restarts under its id without the commits that it alone had acknowledged.
test('a restarted member counts as departed', async t => {
	const fixture = await new GroupFixture().start();
	const restarted = fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, startedUnixMs: 7} : endpoint);
	fixture.updateEndpoints(restarted);
	await fixture.advance(100);
	t.same(fixture.departures, [{memberId: 'r2@0', position: {term: 1, index: 10}}]);
});

// Guards against a second promotion after a hand-over of the lease, by a host that does not reach the primary which
// another host has just promoted, or has not heard of it yet.
test('no promotion is ordered shortly after another host ordered one that this host does not see', async t => {
	const fixture = await new GroupFixture().start();
	const platform = new MemoryPlatform();
	const records = createPromotionRecords(platform, fixture.timers);
	await records.announceTerm('ledger', 2);
	await records.recordOrder('ledger', 2, 'h2');
	fixture.primary.isReachable = false;
	await fixture.advance(100);
	const unseenOrders = new UnseenOrders(fixture.timers, 'h1');
	const attempt = async () => replace(fixture, 'leader-unreachable', () => true, platform, unseenOrders);
	t.same(await attempt(), {promoted: undefined, tokens: [], fenced: [0, 0]});
	t.equal(await records.readTerm('ledger'), 2, 'the announcement of the other host stays');
	await fixture.advance(2000);
	const early = await attempt();
	t.same(early.tokens, []);
	await fixture.advance(4000);
	const late = await attempt();
	t.same(late.tokens, [7], 'the promoted member may have failed at once');
	const record = await records.read('ledger');
	t.match(record, {orderedBy: 'h1'});
});

// Guards against a host that takes back an announced term although a promotion to it was ordered; hosts would rely on
// the replaced primary again.
test('an abandoned attempt withdraws only its own announcement', async t => {
	const fixture = await new GroupFixture().start();
	const platform = new MemoryPlatform();
	const records = createPromotionRecords(platform, fixture.timers);
	await records.announceTerm('ledger', 5);
	fixture.updateEndpoints(fixture.endpoints.map(endpoint => ({...endpoint, state: 'draining'})));
	await replace(fixture, 'leader-unreachable', () => true, platform);
	t.equal(await records.readTerm('ledger'), 5, 'no replica was ready, so nothing was announced');
	await records.recordOrder('ledger', 4, 'h2');
	await records.withdrawTerm('ledger', 1);
	t.equal(await records.readTerm('ledger'), 4);
});
