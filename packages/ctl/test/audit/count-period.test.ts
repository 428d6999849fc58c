import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {type ServiceSample} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {countPeriod} from '../../src/commands/audit/domain/count-period.js';
import {runCtl, startTestPlatform} from '../run.js';

type Counts = {done: number; refused?: number; unknown?: number; reads?: number; promoted?: number};

/** Creates a sample of one proxy that started at time 0. */
const sample = (atUnixMs: number, {done, refused = 0, unknown = 0, reads = 0, promoted = 0}: Counts, change: Partial<ServiceSample> = {}): ServiceSample => ({
	atUnixMs,
	host: 'p1',
	startedUnixMs: 0,
	requests: [['done', 'none', done], ['not_run', 'no-primary', refused], ['unknown', 'timeout', unknown]].map(([outcome, code, count]) => ({
		database: 'ledger', workClass: 'short', outcome: String(outcome), code: String(code), count: Number(count),
	})),
	latencies: [],
	reads: [{database: 'ledger', servedBy: 'replica', count: reads}],
	promotions: [{database: 'ledger', result: 'promoted', count: promoted}, {database: 'ledger', result: 'no-majority', count: 9}],
	...change,
});

// Guards against counters that include writes which never happened, or omit writes.
test('writes, refusals, unknown outcomes and promotions are counted for a period', t => {
	const first = sample(1000, {done: 10, reads: 8});
	const last = sample(2000, {
		done: 30, refused: 3, unknown: 2, reads: 20, promoted: 1,
	});
	const {reads, promotions, ...old} = last;
	const full = {
		acknowledgedWrites: 8, refused: 3, unknownOutcomes: 2, promotions: 1,
	};
	const cases: Array<[string, ServiceSample[], [number, number], object | undefined]> = [
		['increase between two samples', [first, last], [0, 3000], full],
		['order of the samples', [last, first], [0, 3000], full],
		['half of the time', [first, last], [1500, 3000], {
			acknowledgedWrites: 4, refused: 2, unknownOutcomes: 1, promotions: 1,
		}],
		['a restarted proxy counts from zero', [first, sample(1800, {done: 5, reads: 1}, {startedUnixMs: 1500})], [0, 3000], {
			acknowledgedWrites: 4, refused: 0, unknownOutcomes: 0, promotions: 0,
		}],
		['samples without reads say nothing of writes', [first, old], [0, 3000], {
			acknowledgedWrites: undefined, refused: 3, unknownOutcomes: 2, promotions: undefined,
		}],
		['no sample in the period', [first, last], [5000, 6000], undefined],
	];
	for (const [name, samples, [from, to], expected] of cases) {
		t.same(countPeriod(samples, from, to)?.databases, expected && [{database: 'ledger', ...expected}], name);
	}

	t.end();
});

// Guards against a report that shows counters without stating what they cannot show.
test('audit prints the counters in the words of the monitor and their limits', async t => {
	const {url} = await startTestPlatform(t);
	const file = path.join(t.testdir(), 'samples.jsonl');
	const changeArgs = ['--author', 'wanjiru', '--reason', 'words', '--platform', url];
	await runCtl('document', 'init', '--databases', 'ledger', ...changeArgs);
	await runCtl('document', 'edit', '--section', 'monitor', '--set', 'words/booking=lane', '--set', 'words/lost=missing', ...changeArgs);
	const now = Date.now();
	const lines = [sample(now - 2000, {done: 1}, {startedUnixMs: now - 9000}), sample(now - 1000, {done: 5, reads: 1}, {startedUnixMs: now - 9000})];
	writeFileSync(file, `${lines.map(line => JSON.stringify(line)).join('\n')}\nnot a sample\n`);
	const audit = ['audit', '--from', '2020-01-01', '--to', '2100-01-01', '--platform', url, '--samples'];
	const {code, output} = await runCtl(...audit, file);
	t.equal(code, 0);
	t.matchSnapshot(output.split('\n').slice(2).join('\n').replaceAll('from TIME to TIME', 'in the period'));
	t.match(await runCtl(...audit, `${file}.missing`), {code: 0, output: /has no samples of the period/});
});
