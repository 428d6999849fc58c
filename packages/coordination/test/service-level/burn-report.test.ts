import fc from 'fast-check';
import {test} from 'tap';
import {
	burnSeries, reportBurn, type Objective, type ServiceSample,
} from '../../src/index.js';

const seed = Number(process.env.SEED ?? 20_261);
const startMs = 1_800_000_000_000;
const minuteMs = 60_000;
const availability: Objective = {
	name: 'holds', kind: 'availability', targetRatio: 0.99, windowDays: 28,
};
const labels = {database: 'nets', workClass: 'short'};
type Counts = {good: number; bad: number; fast?: number};
const sample = (host: string, startedUnixMs: number, atUnixMs: number, {good, bad, fast = good}: Counts): ServiceSample => ({
	atUnixMs,
	host,
	startedUnixMs,
	requests: [
		{
			...labels, outcome: 'done', code: '', count: good,
		},
		{
			...labels, outcome: 'not-run', code: 'overloaded', count: bad,
		},
	],
	latencies: [
		{
			...labels, outcome: 'done', upToMs: 50, count: Math.min(fast, good),
		},
		{
			...labels, outcome: 'done', upToMs: 100, count: fast,
		},
		{
			...labels, outcome: 'done', upToMs: null, count: good,
		},
	],
});
const origin = sample('origin', startMs, startMs, {good: 0, bad: 0});

// Guards against negative or double counts when a host restarts or stops being sampled.
test('a restart causes no negative and no double counts', t => {
	const step = fc.oneof(
		fc.record({kind: fc.constant('work' as const), good: fc.nat(50), bad: fc.nat(5)}),
		fc.constant({kind: 'restart' as const}),
		fc.constant({kind: 'read' as const}),
	);
	const histories = fc.array(fc.array(step, {maxLength: 25}), {minLength: 1, maxLength: 4});
	const property = fc.property(histories, fc.nat(30), (hosts, earlierMinute) => {
		const expected = {good: 0, bad: 0};
		const samples = hosts.flatMap((steps, host) => {
			let startedMs = startMs + host;
			let counts = {good: 0, bad: 0};
			let lastRead = {good: 0, bad: 0};
			const hostSamples: ServiceSample[] = [];
			for (const [index, {kind, ...work}] of steps.entries()) {
				const nowMs = startMs + ((index + 1) * minuteMs);
				if (kind === 'work' && 'good' in work) {
					counts = {good: counts.good + work.good, bad: counts.bad + work.bad};
				} else if (kind === 'restart') {
					[startedMs, counts, lastRead] = [nowMs, {good: 0, bad: 0}, {good: 0, bad: 0}];
				} else if (kind === 'read') {
					hostSamples.push(sample(`host ${host}`, startedMs, nowMs, counts));
					expected.good += counts.good - lastRead.good;
					expected.bad += counts.bad - lastRead.bad;
					lastRead = counts;
				}
			}

			return hostSamples;
		});
		const endMs = startMs + (30 * minuteMs);
		// Samples in any order, and stored twice.
		const report = reportBurn(availability, [...samples.reverse(), ...samples, origin], endMs);
		const isNear = (a: number, b: number) => Math.abs(a - b) < 1e-6;
		const series = burnSeries(availability, [origin, ...samples], {nowUnixMs: endMs, stepMs: 3 * minuteMs, steps: 11});
		const earlierReport = reportBurn(availability, [origin, ...samples], startMs + (earlierMinute * minuteMs));
		return isNear(report.bad, expected.bad) && isNear(report.total, expected.good + expected.bad)
			&& isNear(series.reduce((sum, {total}) => sum + total, 0), report.total)
			&& earlierReport.total >= 0 && earlierReport.bad >= 0 && earlierReport.total <= report.total + 1e-6
			&& report.windows.every(({total, bad}) => bad >= 0 && bad <= total + 1e-6 && total <= report.total + 1e-6);
	});
	t.doesNotThrow(() => {
		fc.assert(property, {seed, numRuns: 300});
	}, `seed ${seed}`);
	t.end();
});

// Guards against including the whole history of a process that started before the first sample.
test('counts from before the first sample are excluded', t => {
	const samples = [sample('a', startMs - 1e9, startMs, {good: 900, bad: 100}), sample('a', startMs - 1e9, startMs + 1000, {good: 910, bad: 100})];
	t.match(reportBurn(availability, samples, startMs + 1000), {total: 10, bad: 0, budgetLeft: 1});
	t.match(reportBurn(availability, [], startMs), {
		total: 0, bad: 0, budgetLeft: 1, state: 'ok', causes: [],
	});
	t.end();
});

// Guards against wrong burn rates, states and causes.
test('burn rate, budget and causes', t => {
	const at = (minutes: number, counts: Counts) => sample('a', startMs, startMs + (minutes * minuteMs), counts);
	const samples = [origin, at(0, {good: 0, bad: 0}), at(60, {good: 800, bad: 200, fast: 600})];
	const nowMs = startMs + (60 * minuteMs);
	const report = reportBurn(availability, samples, nowMs);
	t.match(report.windows.map(({burnRate}) => Math.round(burnRate * 1e6) / 1e6), [20, 20, 20, 20]);
	t.equal(report.state, 'fast-burn');
	t.equal(Math.round(report.budgetLeft), -19);
	t.match(report.causes, [{
		outcome: 'not-run', code: 'overloaded', database: 'nets', bad: 200, share: 1,
	}]);
	const latency: Objective = {...availability, kind: 'latency', thresholdMs: 120};
	t.match(reportBurn(latency, samples, nowMs), {
		total: 800, bad: 200, usedThresholdMs: 100, causes: [{code: 'slow'}],
	});
	t.match(reportBurn({...availability, database: 'tins'}, samples, nowMs), {total: 0, bad: 0});
	t.match(reportBurn({...availability, targetRatio: 1}, samples, nowMs), {budgetLeft: -Infinity});
	t.end();
});
