import {test} from 'tap';
import {
	acceptedWithinDeadline, goodputPerSecond, recoveryMs,
} from '../../src/scenario/domain/step-windows.js';
import {type StepRecord} from '../../src/index.js';

const step = (dueMs: number, latencyMs: number, outcome: StepRecord['outcome'] = 'done'): StepRecord => ({
	statement: 'hold_lane', access: 'write', dueMs, endMs: dueMs + latencyMs, outcome,
});

// Guards against peak figures that count late answers or refusals as service.
test('only answers within the deadline are goodput', t => {
	const steps = [step(0, 10), step(500, 1001), step(900, 10, 'not-run'), step(999, 1000), step(1000, 10)];
	t.equal(goodputPerSecond(steps, 0, 1000, 1000), 2);
	t.equal(acceptedWithinDeadline(steps, 1000), 0.75);
	t.equal(acceptedWithinDeadline([], 1000), 1);
	t.end();
});

// Guards against a recovery that is reported though steps still fail, or never came.
test('recovery is the first window in which every step is in time', t => {
	const late = [step(100, 2000), step(600, 10), step(700, 10, 'not-run'), step(1200, 10)];
	t.equal(recoveryMs(late, 0, 2000, 1000), 1000);
	t.equal(recoveryMs(late, 0, 1000, 1000), -1);
	t.end();
});
