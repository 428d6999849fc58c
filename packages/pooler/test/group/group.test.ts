import {test} from 'tap';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

// Guards against a read that misses a commit acknowledged before the position was asked for.
test('a bound is known as of when its members were asked, and only with all but one of them', async t => {
	const fixture = await new GroupFixture().start();
	const {group, timers} = fixture;
	t.same(group.boundSince(0), {term: 1, index: 10});
	t.equal(group.boundSince(timers.nowMs() + 1), undefined);
	fixture.replica(1).isReachable = false;
	fixture.replica(2).isReachable = false;
	fixture.announcedTerm = undefined;
	// The last word of a replica proves the primary for 500 ms.
	await fixture.advance(700);
	const sinceMs = timers.nowMs();
	t.equal(await fixture.advanceUntilSettled(group.awaitBoundSince(sinceMs, sinceMs + 500)), undefined, 'the primary alone bounds nothing unless it is proven');
});

// Guards against an outage of reads while the primary's replicas are out of reach and nobody replaces it.
test('a primary alone bounds the log while no promoter announced a term', async t => {
	const fixture = await new GroupFixture().start();
	const {group, timers} = fixture;
	fixture.replica(1).isReachable = false;
	fixture.replica(2).isReachable = false;
	await fixture.advance(3000);
	fixture.primary.log = {term: 1, index: 44};
	const sinceMs = timers.nowMs();
	t.same(await fixture.advanceUntilSettled(group.awaitBoundSince(sinceMs, sinceMs + 4000)), {term: 1, index: 44});
	fixture.announcedTerm = 2;
	await fixture.advance(2000);
	t.equal(await fixture.advanceUntilSettled(group.proveLeadership(timers.nowMs(), timers.nowMs() + 400)), false);
});

// Guards against reads at a replaced primary by a host that does not know of the promotion.
test('leadership is not proven once the replicas are fenced', async t => {
	const fixture = await new GroupFixture().start();
	const {group, timers} = fixture;
	t.ok(await fixture.advanceUntilSettled(group.proveLeadership(timers.nowMs(), timers.nowMs() + 1000)));
	fixture.replica(1).fencedTerm = 2;
	fixture.replica(2).fencedTerm = 2;
	fixture.announcedTerm = 2;
	await fixture.advance(600);
	t.equal(await fixture.advanceUntilSettled(group.proveLeadership(timers.nowMs(), timers.nowMs() + 1000)), false);
});

// Guards against a suspended host that trusts what it believed before, since its steady clock stood still.
test('a jump of the time of day against the steady clock ends every proof and bound', async t => {
	const fixture = await new GroupFixture().start();
	const {group, timers} = fixture;
	group.noteCommit(group.leader!, timers.nowMs(), {term: 1, index: 11});
	t.ok(group.isLeadershipProven(timers.nowMs()));
	const wallClockMs = timers.wallClockMs.bind(timers);
	timers.wallClockMs = () => wallClockMs() + 5000;
	t.notOk(group.isLeadershipProven(timers.nowMs()));
	t.equal(group.boundSince(0), undefined);
});

// Guards against waiting reads that multiply status requests: 321 s of processor time in one day of the bench.
test('two hundred waiting reads share the requests for a bound', async t => {
	const fixture = await new GroupFixture().start();
	const {group, timers} = fixture;
	fixture.replica(1).isReachable = false;
	fixture.replica(2).isReachable = false;
	fixture.announcedTerm = undefined;
	const before = fixture.primary.executedCommands.length;
	const sinceMs = timers.nowMs();
	const reads = Array.from({length: 200}, async () => group.awaitBoundSince(sinceMs, sinceMs + 1000));
	await fixture.advanceUntilSettled(Promise.all(reads));
	t.ok(fixture.primary.executedCommands.length - before <= 25, `at most one request a 50 ms, not ${fixture.primary.executedCommands.length - before}`);
});

// Guards against writes that fill the slots of a primary which confirms none of them.
test('a primary is stalled when the latest writes go unconfirmed, not when one answer is lost', async t => {
	const fixture = await new GroupFixture().start();
	const {group, timers} = fixture;
	const leader = group.leader!;
	leader.noteWriteUnconfirmed(timers.nowMs());
	await fixture.advance(800);
	t.ok(group.isLeaderStalled(timers.nowMs()));
	leader.noteWriteConfirmed(timers.nowMs());
	t.notOk(group.isLeaderStalled(timers.nowMs()));
});

// Guards against reads at replicas that lack what a departed replica alone had acknowledged (hunt on molde-quito,
// day hunt-b313-3: 69 stale reads by processes that had just started).
test('replicas alone bound the log only above what departed members may have acknowledged', async t => {
	const fixture = new GroupFixture();
	fixture.primary.isReachable = false;
	fixture.departedFloor = {term: 1, index: 28};
	await fixture.start();
	await fixture.advance(2000);
	t.same(fixture.group.boundSince(0), {term: 1, index: 28});
	const unknown = new GroupFixture();
	unknown.primary.isReachable = false;
	unknown.departedFloor = undefined;
	await unknown.start();
	await unknown.advance(2000);
	t.equal(unknown.group.boundSince(0), undefined, 'the store does not answer');
});

// Guards against work for a primary that leaves because its notice reached this host late, so that more of the drain
// bound had passed than the host knew of.
test('a leaving primary gets work by the age of what was known before its notice', async t => {
	const draining = (fixture: GroupFixture) => fixture.endpoints.map(endpoint => endpoint.endpointId === 'p' ? {...endpoint, state: 'draining' as const} : endpoint);
	const worksFor = async (unheardMs: number): Promise<number> => {
		const fixture = await new GroupFixture().start();
		const {group, timers} = fixture;
		const noticedAtMs = timers.nowMs();
		const leader = group.leader!;
		fixture.updateEndpoints(draining(fixture), noticedAtMs - unheardMs);
		const steps = Array.from({length: 80}, (_, index) => index * 100);
		return steps.findLast(afterMs => group.takesNewWork(leader, noticedAtMs + afterMs)) ?? Number.NaN;
	};

	t.matchSnapshot({
		'heard of at once': await worksFor(0),
		'after an idle watch': await worksFor(2800),
		'after a silent watch': await worksFor(4000),
		'after a long outage': await worksFor(20_000),
		'leaving since before this process started': await worksFor(Number.POSITIVE_INFINITY),
	});
});
