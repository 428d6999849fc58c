import {MemoryPlatform} from '@dogwoodthread/coordination';
import {errAsync} from 'neverthrow';
import {test} from 'tap';
import {
	DutyLease, FailoverDriver, FenceWatch, TermAnnouncements,
} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

function startDriver(fixture: GroupFixture): FailoverDriver {
	const platform = new MemoryPlatform();
	const {timers, events, group, clock} = fixture;
	const driver = new FailoverDriver({
		lease: new DutyLease({
			platform, timers, clock, events, hostId: 'h1',
		}),
		promotions: {promote: () => errAsync({kind: 'unavailable', message: 'not expected', outcomeKnown: true})},
		announcements: new TermAnnouncements(platform),
		timers,
		events,
		hostId: 'h1',
		groups: () => [group],
	});
	driver.start();
	return driver;
}

// Guards against a replica that receives nothing for good: its promoter was killed, or could not reach it any more, and
// the old primary leads on (soak, seed 4).
test('a fence without a promoter is lifted', async t => {
	const fixture = await new GroupFixture().start();
	const driver = startDriver(fixture);
	fixture.replica(1).fencedTerm = 2;
	await fixture.advance(2000);
	t.equal(fixture.replica(1).fencedTerm, 2, 'a promoter may be at work');
	await fixture.advance(10_000);
	t.equal(fixture.replica(1).fencedTerm, 0);
	t.match(fixture.events.eventsNamed('fence-lifted'), [{endpointId: 'r1', fencedTerm: 2, outcome: 'answered'}]);
	driver.stop();
});

// Guards against a replica that was out of reach when the term began for which it had been fenced (soak, seed 4).
test('a fence for the present term is lifted', async t => {
	const fixture = await new GroupFixture().start();
	const driver = startDriver(fixture);
	fixture.replica(1).fencedTerm = 2;
	fixture.primary.term = 2;
	fixture.replica(2).term = 2;
	await fixture.advance(12_000);
	t.equal(fixture.replica(1).fencedTerm, 0);
	driver.stop();
});

// Guards against a fence that is lifted under a promoter: without a primary, or with one that is to be replaced.
test('a fence stays while the primary is in doubt', async t => {
	const fixture = await new GroupFixture().start();
	const watch = new FenceWatch();
	fixture.replica(1).fencedTerm = 2;
	fixture.primary.isReachable = false;
	for (let seconds = 0; seconds < 8; seconds += 1) {
		await fixture.advance(1000);
		t.same(watch.lingering(fixture.group, fixture.timers.nowMs()), []);
	}
});
