import {test} from 'tap';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

// Guards against a read at a replaced primary: the promoter lifts the fence of the other replica right after the promotion,
// and until that replica has received from the new primary it looks as if it had never been fenced.
test('a replica whose fence was lifted after a promotion does not prove the old primary', async t => {
	const fixture = await new GroupFixture().start();
	const [promoted, resumed] = [fixture.replica(1), fixture.replica(2)];
	promoted.isReachable = false;
	promoted.role = 'primary';
	promoted.term = 2;
	fixture.announcedTerm = 2;
	resumed.fencedTerm = 2;
	await fixture.advance(1500);
	resumed.fencedTerm = 0;
	const nowMs = fixture.timers.nowMs();
	t.notOk(await fixture.advanceUntilSettled(fixture.group.proveLeadership(nowMs, nowMs + 300)));
});
