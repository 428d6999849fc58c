import {ManualTimerService, MemoryPlatform} from '@dogwoodthread/coordination';
import {errAsync} from 'neverthrow';
import {test} from 'tap';
import {ClockDiscontinuityDetector, PromotionLease} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

const createLease = (platform: MemoryPlatform, timers: ManualTimerService, hostId: string) =>
	new PromotionLease({
		platform, timers, hostId, clock: new ClockDiscontinuityDetector(timers), events: new MemoryEventLog(),
	});

// Guards against two hosts that promote at the same time, and against fencing tokens that repeat or decrease.
test('the lease has one holder at a time, and its fencing tokens increase', async t => {
	const platform = new MemoryPlatform();
	const timers = new ManualTimerService();
	const [a, b] = [createLease(platform, timers, 'a'), createLease(platform, timers, 'b')];
	const [first, second] = await Promise.all([a.acquire(), b.acquire()]);
	t.equal([first, second].filter(Boolean).length, 1);
	const held = (first ?? second)!;
	t.equal(held.fencingToken, 1);
	await held.release();
	const next = await (first ? b : a).acquire();
	t.equal(next?.fencingToken, 2);
});

// Guards against a lease that no other host can take over from a failed holder.
test('another host takes over after the lease has expired by its own clock', async t => {
	const platform = new MemoryPlatform();
	const timers = new ManualTimerService();
	const failedHolder = await createLease(platform, timers, 'a').acquire();
	const successor = createLease(platform, timers, 'b');
	t.equal(await successor.acquire(), undefined);
	timers.advance(4500);
	t.notOk(failedHolder!.isValid());
	t.equal(await successor.acquire(), undefined, 'the other host first saw the lease after the holder had acquired it');
	timers.advance(600);
	t.equal((await successor.acquire())?.fencingToken, 2);
});

// Guards against a holder that was suspended and acts on a lease that has expired meanwhile.
test('a suspension of the process ends the lease', async t => {
	const timers = new ManualTimerService();
	const held = await createLease(new MemoryPlatform(), timers, 'a').acquire();
	const wallClockMs = timers.wallClockMs.bind(timers);
	timers.wallClockMs = () => wallClockMs() + 3000;
	t.notOk(held!.isValid());
});

// Guards against a lease that its holder does not know of because the answer of the store was lost.
test('a lease whose write was not answered is read back from the store', async t => {
	const platform = new MemoryPlatform();
	const timers = new ManualTimerService();
	const put = platform.put.bind(platform);
	platform.put = (...call) => put(...call).andThen(() =>
		errAsync({kind: 'unavailable' as const, message: 'no answer', outcomeKnown: false}));
	t.equal((await createLease(platform, timers, 'a').acquire())?.fencingToken, 1);
});
