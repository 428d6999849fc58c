import {ManualTimerService, MemoryPlatform} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {Fleet, type FleetHost} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

const createHost = (hostId: string): FleetHost => ({
	hostId, address: `${hostId}:1`, failureDomain: 'a', startedAtMs: 0,
});

async function startFleet(platform: MemoryPlatform, timers: ManualTimerService, hostId: string): Promise<Fleet> {
	const fleet = new Fleet({
		platform, timers, events: new MemoryEventLog(), self: createHost(hostId),
	});
	fleet.start();
	await timers.advanceAsync(10, 10);
	return fleet;
}

const hostIds = (fleet: Fleet) => fleet.hosts.map(({hostId}) => hostId).toSorted();

// Guards against a host that computes its share of the connections as if it were the only host.
test('a host registers before it loads the fleet, and the other hosts discover it', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	const first = await startFleet(platform, timers, 'a');
	const second = await startFleet(platform, timers, 'b');
	t.ok(second.isLoaded);
	t.same(hostIds(second), ['a', 'b']);
	await timers.advanceAsync(6000, 100);
	t.same(hostIds(first), ['a', 'b']);
	await second.deregister();
	await timers.advanceAsync(6000, 100);
	t.same(hostIds(first), ['a']);
});

// Guards against connections that stay reserved for failed hosts, and against entries that are never removed.
test('a host that stops rewriting its entry is considered down, and its entry is removed', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	await platform.put('hosts', 'dead', createHost('dead'), 0);
	const fleet = await startFleet(platform, timers, 'a');
	t.same(hostIds(fleet), ['a', 'dead']);
	await timers.advanceAsync(60_000, 500);
	t.same(hostIds(fleet), ['a']);
	await timers.advanceAsync(120_000, 500);
	const found = await platform.get('hosts', 'dead');
	t.equal(found._unsafeUnwrapErr().kind, 'not-found');
});

// Guards against a host that starts while the store is down and never discovers the other hosts.
test('a host that starts while the store is down retries until it answers', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	const list = platform.list.bind(platform);
	platform.list = kind => platform.get('hosts', 'unknown').andThen(() => list(kind)).mapErr(error => ({...error, kind: 'unavailable' as const}));
	const fleet = await startFleet(platform, timers, 'a');
	t.notOk(fleet.isLoaded);
	platform.list = list;
	await timers.advanceAsync(1000, 100);
	t.ok(fleet.isLoaded);
});

// Guards against a host that has left and is used again, or a new one that is forgotten, because a stale list was behind
// the one before. Hosts that came back counted as up for 50 s more.
test('a list that is older than the one in force is ignored', async t => {
	const [platform, timers] = [new MemoryPlatform(), new ManualTimerService()];
	const events = new MemoryEventLog();
	const fleet = new Fleet({
		platform, timers, events, self: createHost('a'),
	});
	fleet.start();
	await timers.advanceAsync(10, 10);
	const leaving = await startFleet(platform, timers, 'b');
	await timers.advanceAsync(6000, 100);
	t.same(hostIds(fleet), ['a', 'b']);
	const stale = await platform.list('hosts');
	await leaving.deregister();
	await startFleet(platform, timers, 'c');
	await timers.advanceAsync(6000, 100);
	t.same(hostIds(fleet), ['a', 'c']);
	const list = platform.list.bind(platform);
	const staleness: Array<boolean | undefined> = [];
	platform.list = (kind, options?: {allowStale: boolean}) => {
		staleness.push(options?.allowStale);
		return options?.allowStale ? list(kind).map(() => stale._unsafeUnwrap()) : list(kind);
	};

	await timers.advanceAsync(6000, 100);
	t.same(hostIds(fleet), ['a', 'c'], 'the running host keeps its list');
	const restarted = await startFleet(platform, timers, 'd');
	t.same(hostIds(restarted), ['a', 'c', 'd'], 'a host that starts reads a current list');
	t.same(staleness.at(-1), false);
	t.same(events.eventsNamed('host-appeared').map(({peerId}) => peerId), ['a', 'b', 'c']);
});
