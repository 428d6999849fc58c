import {ManualTimerService, MemoryPlatform} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {Fleet, type FleetHost} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

const hostOf = (hostId: string): FleetHost => ({
	hostId, address: `${hostId}:1`, failureDomain: 'a', startedAtMs: 0,
});

async function start(platform: MemoryPlatform, timers: ManualTimerService, hostId: string): Promise<Fleet> {
	const fleet = new Fleet({
		platform, timers, events: new MemoryEventLog(), self: hostOf(hostId),
	});
	fleet.start();
	await timers.advanceAsync(10, 10);
	return fleet;
}

const names = (fleet: Fleet) => fleet.hosts.map(({hostId}) => hostId).toSorted();

// Guards against a host that plans its connections as if it were alone.
test('a host is in the fleet before it is loaded, and the others find it', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	const first = await start(platform, timers, 'a');
	const second = await start(platform, timers, 'b');
	t.ok(second.isLoaded);
	t.same(names(second), ['a', 'b']);
	await timers.advanceAsync(6000, 100);
	t.same(names(first), ['a', 'b']);
	await second.leave();
	await timers.advanceAsync(6000, 100);
	t.same(names(first), ['a']);
});

// Guards against connections that stay reserved for hosts that are gone, and against entries that stay for good.
test('a host that no longer confirms its entry is gone, and its entry is taken out', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	await platform.put('hosts', 'dead', hostOf('dead'), 0);
	const fleet = await start(platform, timers, 'a');
	t.same(names(fleet), ['a', 'dead']);
	await timers.advanceAsync(60_000, 500);
	t.same(names(fleet), ['a']);
	await timers.advanceAsync(120_000, 500);
	const found = await platform.get('hosts', 'dead');
	t.equal(found._unsafeUnwrapErr().kind, 'not-found');
});

// Guards against a host that starts while the store is down and never learns of the others.
test('a host that starts without the store tries until it answers', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	const list = platform.list.bind(platform);
	platform.list = kind => platform.get('hosts', 'unknown').andThen(() => list(kind)).mapErr(error => ({...error, kind: 'unavailable' as const}));
	const fleet = await start(platform, timers, 'a');
	t.notOk(fleet.isLoaded);
	platform.list = list;
	await timers.advanceAsync(1000, 100);
	t.ok(fleet.isLoaded);
});
