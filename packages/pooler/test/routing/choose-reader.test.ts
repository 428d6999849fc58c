import {test} from 'tap';
import {chooseReader} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

const readerRequest = (fixture: GroupFixture, index: number, excluded: string[] = []) => ({
	group: fixture.group, minPosition: {term: 1, index}, nowMs: fixture.timers.nowMs(), failureDomain: 'r2', excluded: new Set(excluded),
});

// Guards against reads that overload the primary while replicas are idle.
test('a replica that has applied the position serves the read, one in the same failure domain first', async t => {
	const fixture = await new GroupFixture().start();
	t.equal(chooseReader(readerRequest(fixture, 10))?.id, 'r2');
	t.equal(chooseReader(readerRequest(fixture, 10, ['r2']))?.id, 'r1');
});

// Guards against reads that try each lagging replica first, which would double the latency of every read.
test('a replica that was just seen lagging is skipped, and chosen again later', async t => {
	const fixture = await new GroupFixture().start();
	fixture.group.members.get('r1')!.recordAnswer({term: 1, index: 3});
	fixture.group.members.get('r2')!.recordAnswer({term: 1, index: 3});
	t.equal(chooseReader(readerRequest(fixture, 10))?.id, 'p');
	await fixture.advance(200);
	t.not(chooseReader(readerRequest(fixture, 10))?.id, 'p');
});

// Guards against reads that are sent to an instance that is draining or does not answer.
test('members that are draining or do not answer get no reads', async t => {
	const fixture = await new GroupFixture().start();
	fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, state: 'draining'} : endpoint));
	fixture.group.members.get('r1')!.recordFailure(fixture.timers.nowMs());
	await fixture.timers.advanceAsync(50);
	t.equal(chooseReader({...readerRequest(fixture, 10), nowMs: fixture.timers.nowMs() + 400})?.id, 'p');
});

// Guards against reads that wait for a member which does not answer because no other one is left.
test('no member is chosen while none answers, and one is again after its next answer', async t => {
	const fixture = await new GroupFixture().start();
	const failedAtMs = fixture.timers.nowMs();
	for (const member of fixture.group.members.values()) {
		member.recordFailure(failedAtMs + 1);
	}

	t.equal(chooseReader({...readerRequest(fixture, 10), nowMs: failedAtMs + 302}), undefined);
	fixture.group.members.get('r1')!.recordAnswer({term: 1, index: 10});
	t.equal(chooseReader({...readerRequest(fixture, 10), nowMs: failedAtMs + 302})?.id, 'r1');
});
