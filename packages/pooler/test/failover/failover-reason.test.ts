import {test} from 'tap';
import {failoverReason} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

// Guards against a promotion while the primary serves others: a primary cut off from some hosts only.
test('a primary out of reach whose replicas receive commits is left alone', async t => {
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

// Guards against writes that hang for as long as a primary is cut off from its replicas.
test('a primary whose writes reach no replica is isolated', async t => {
	const fixture = await new GroupFixture().start();
	await fixture.advance(1500);
	fixture.primary.log = {term: 1, index: 20};
	fixture.group.leader!.noteWriteUnconfirmed(fixture.timers.nowMs());
	await fixture.advance(1200);
	t.equal(failoverReason(fixture.group, fixture.timers.nowMs()), 'leader-isolated');
});

// Guards against a leaving primary that keeps its work until it is gone.
test('a leaving primary is replaced if a replica is ready', async t => {
	const fixture = await new GroupFixture().start();
	fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'p' ? {...endpoint, state: 'draining'} : endpoint));
	await fixture.advance(100);
	t.equal(failoverReason(fixture.group, fixture.timers.nowMs()), 'leader-draining');
});
