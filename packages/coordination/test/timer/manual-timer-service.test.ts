import {test} from 'tap';
import {ManualTimerService} from '../../src/index.js';

// Guards against timers that run out of order, which would hide races in every test that uses them.
test('due callbacks run in order of their due time', t => {
	const timers = new ManualTimerService();
	const calls: string[] = [];
	timers.after(20, () => calls.push('late'));
	timers.after(10, () => calls.push('early'));
	const tick = timers.every(8, () => calls.push('tick'));
	timers.advance(20);
	t.matchSnapshot(calls);
	tick.cancel();
	timers.advance(100);
	t.equal(calls.length, 4);
	t.end();
});
