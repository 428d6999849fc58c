import {test} from 'tap';
import {RetryBudget, jitteredRetryAfterMs} from '../../src/index.js';

// Guards against retries that multiply the load of a failing database, and against a table that grows without
// bound with the number of callers.
test('retries are limited to the burst and a share of the successes', t => {
	const budget = new RetryBudget({ratio: 0.1, burst: 3, maxEntries: 2});
	const take = (caller: string, times: number) => Array.from({length: times}, () => budget.tryTakeRetry(caller, 'nets')).filter(Boolean).length;
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

// Guards against one caller that uses up the retries of another, because a caller and a database joined make the text of another pair.
test('each pair of caller and database has a budget of its own, whatever their names hold', t => {
	const budget = new RetryBudget({ratio: 0.1, burst: 1});
	for (const separator of ['\0', '/', ':', ' ', ',', '"', '1:']) {
		const [joined, apart] = [`a${separator}b`, `b${separator}c`];
		t.same([budget.tryTakeRetry('c', joined), budget.tryTakeRetry(apart, 'a'), budget.tryTakeRetry(`${joined}${separator}c`, '')], [true, true, true], JSON.stringify(separator));
	}

	t.end();
});

// Guards against changed limits of the governing document that take effect only after a restart.
test('a new ratio and burst apply at once', t => {
	const budget = new RetryBudget({ratio: 0.1, burst: 3});
	budget.configure({ratio: 1, burst: 1});
	t.same([budget.tryTakeRetry('a', 'nets'), budget.tryTakeRetry('a', 'nets')], [true, false]);
	budget.onSuccess('a', 'nets');
	t.equal(budget.tryTakeRetry('a', 'nets'), true);
	t.end();
});

// Guards against callers that were refused together and retry together.
test('retry times spread over half to one and a half of the base', t => {
	t.same([0, 0.5, 0.999].map(random => jitteredRetryAfterMs(200, () => random)), [100, 200, 300]);
	t.same([jitteredRetryAfterMs(0, () => 0), jitteredRetryAfterMs(Infinity, () => 0.5)], [5, 5000]);
	t.end();
});
