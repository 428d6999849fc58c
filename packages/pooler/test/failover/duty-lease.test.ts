import {ManualTimerService, MemoryPlatform} from '@dogwoodthread/coordination';
import {errAsync} from 'neverthrow';
import {test} from 'tap';
import {ContinuityClock, DutyLease} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

const leaseOf = (platform: MemoryPlatform, timers: ManualTimerService, hostId: string) =>
	new DutyLease({
		platform, timers, hostId, clock: new ContinuityClock(timers), events: new MemoryEventLog(),
	});

// Guards against two hosts that promote at the same time, and against tokens that repeat or fall.
test('one holder at a time, with growing tokens', async t => {
	const platform = new MemoryPlatform();
	const timers = new ManualTimerService();
	const [a, b] = [leaseOf(platform, timers, 'a'), leaseOf(platform, timers, 'b')];
	const [first, second] = await Promise.all([a.acquire(), b.acquire()]);
	t.equal([first, second].filter(Boolean).length, 1);
	const held = (first ?? second)!;
	t.equal(held.fencingToken, 1);
	await held.release();
	const next = await (first ? b : a).acquire();
	t.equal(next?.fencingToken, 2);
});

// Guards against a duty that nobody can take over from a host that died.
test('another host takes over after the lease has run out by its own clock', async t => {
	const platform = new MemoryPlatform();
	const timers = new ManualTimerService();
	const dead = await leaseOf(platform, timers, 'a').acquire();
	const heir = leaseOf(platform, timers, 'b');
	t.equal(await heir.acquire(), undefined);
	timers.advance(4500);
	t.notOk(dead!.isValid());
	t.equal(await heir.acquire(), undefined, 'it first saw the lease later than the holder took it');
	timers.advance(600);
	t.equal((await heir.acquire())?.fencingToken, 2);
});

// Guards against a holder that was suspended and acts on a lease that has run out meanwhile.
test('a suspension ends the lease', async t => {
	const timers = new ManualTimerService();
	const held = await leaseOf(new MemoryPlatform(), timers, 'a').acquire();
	const wallClockMs = timers.wallClockMs.bind(timers);
	timers.wallClockMs = () => wallClockMs() + 3000;
	t.notOk(held!.isValid());
});

// Guards against a lease that is held without its holder knowing, since the store's answer was lost.
test('a write without an answer is looked up', async t => {
	const platform = new MemoryPlatform();
	const timers = new ManualTimerService();
	const put = platform.put.bind(platform);
	platform.put = (...call) => put(...call).andThen(() =>
		errAsync({kind: 'unavailable' as const, message: 'no answer', outcomeKnown: false}));
	t.equal((await leaseOf(platform, timers, 'a').acquire())?.fencingToken, 1);
});
