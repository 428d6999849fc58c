import {test} from 'tap';
import {chooseReader} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';

const request = (fixture: GroupFixture, index: number, excluded: string[] = []) => ({
	group: fixture.group, after: {term: 1, index}, nowMs: fixture.timers.nowMs(), failureDomain: 'r2', excluded: new Set(excluded),
});

// Pattern: reads that crowd the primary while replicas are idle.
test('a replica that has the position serves the read, the near one first', async t => {
	const fixture = await new GroupFixture().start();
	t.equal(chooseReader(request(fixture, 10))?.id, 'r2');
	t.equal(chooseReader(request(fixture, 10, ['r2']))?.id, 'r1');
});

// Pattern: replicas behind; asking each of them first would double the latency of every read.
test('a replica that was just seen behind is passed over, and asked again later', async t => {
	const fixture = await new GroupFixture().start();
	fixture.group.members.get('r1')!.noteAnswer({term: 1, index: 3});
	fixture.group.members.get('r2')!.noteAnswer({term: 1, index: 3});
	t.equal(chooseReader(request(fixture, 10))?.id, 'p');
	await fixture.advance(200);
	t.not(chooseReader(request(fixture, 10))?.id, 'p');
});

// Pattern: an instance that leaves or answers nothing.
test('members that leave or do not answer get no reads', async t => {
	const fixture = await new GroupFixture().start();
	fixture.updateEndpoints(fixture.endpoints.map(endpoint => endpoint.endpointId === 'r2' ? {...endpoint, state: 'draining'} : endpoint));
	fixture.group.members.get('r1')!.noteFailure(fixture.timers.nowMs());
	await fixture.timers.advanceAsync(50);
	t.equal(chooseReader({...request(fixture, 10), nowMs: fixture.timers.nowMs() + 400})?.id, 'p');
});
