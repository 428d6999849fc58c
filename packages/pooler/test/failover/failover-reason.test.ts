import {test} from 'tap';
import {failoverReason} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

// Guards against a promotion while the primary still serves other hosts, because it is unreachable from some hosts only.
test('an unreachable primary is not replaced while its replicas receive commits', async t => {
	const fixture = await new GroupFixture().start();
	fixture.primary.isReachable = false;
	for (let second = 0; second < 4; second += 1) {
		await fixture.advance(500);
		fixture.replica(1).log = {term: 1, index: fixture.replica(1).log.index + 1};
		fixture.replica(2).log = fixture.replica(1).log;
		await fixture.advance(500);
		t.equal(failoverReason(fixture.group, fixture.timers.nowMs()), undefined);
	}

	await fixture.advance(2500);
	t.equal(failoverReason(fixture.group, fixture.timers.nowMs()), 'leader-unreachable');
});

// Guards against writes that wait for as long as the primary is disconnected from its replicas.
test('a primary whose writes reach no replica is isolated', async t => {
	const fixture = await new GroupFixture().start();
	await fixture.advance(1500);
	fixture.primary.log = {term: 1, index: 20};
	fixture.group.leader!.recordWriteUnconfirmed(fixture.timers.nowMs());
	await fixture.advance(1200);
	t.equal(failoverReason(fixture.group, fixture.timers.nowMs()), 'leader-isolated');
});

// Guards against a draining primary that stays the primary until it is stopped.
test('a draining primary is replaced if a replica is ready', async t => {
	const fixture = await new GroupFixture().start();
	fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'p' ? {...endpoint, state: 'draining'} : endpoint));
	await fixture.advance(100);
	t.equal(failoverReason(fixture.group, fixture.timers.nowMs()), 'leader-draining');
});
