import {test} from 'tap';
import {RetryBudget, jitteredRetryAfterMs} from '../../src/index.js';

// Guards against retries that multiply the load of a failing database, and against a table that grows
// with every caller ever seen.
test('retries are limited to the burst and a share of the successes', t => {
	const budget = new RetryBudget({ratio: 0.1, burst: 3, maxEntries: 2});
	const take = (caller: string, times: number) => Array.from({length: times}, () => budget.tryRetry(caller, 'nets')).filter(Boolean).length;
	t.equal(take('a', 10), 3);
	t.equal(take('b', 1), 1, 'another caller has its own budget');
	Array.from({length: 20}, () => {
		budget.onSuccess('a', 'nets');
		return undefined;
	});
	t.equal(take('a', 10), 2, '20 successes earn 2 retries');
	take('c', 3);
	t.equal(budget.size, 2);
	t.end();
});

// Guards against limits of the governing document that only a restart would apply.
test('a new ratio and burst apply at once', t => {
	const budget = new RetryBudget({ratio: 0.1, burst: 3});
	budget.configure({ratio: 1, burst: 1});
	t.same([budget.tryRetry('a', 'nets'), budget.tryRetry('a', 'nets')], [true, false]);
	budget.onSuccess('a', 'nets');
	t.equal(budget.tryRetry('a', 'nets'), true);
	t.end();
});

// Guards against callers that come back together after they were refused together.
test('retry times spread over half to one and a half of the base', t => {
	t.same([0, 0.5, 0.999].map(random => jitteredRetryAfterMs(200, () => random)), [100, 200, 300]);
	t.same([jitteredRetryAfterMs(0, () => 0), jitteredRetryAfterMs(Infinity, () => 0.5)], [5, 5000]);
	t.end();
});
