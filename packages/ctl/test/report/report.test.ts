import {
	appendFile, mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {pino} from 'pino';
import {test, type Test} from 'tap';
import {type ServiceLevelReport} from '../../src/report/definitions.js';
import {parsePrometheusText} from '../../src/report/domain/prometheus-text.js';
import {runReport, type ReportOptions} from '../../src/report/index.js';

const objectives = `objectives:
  - {name: "holds <b>", kind: availability, database: nets, targetRatio: 0.99, windowDays: 28}
  - {name: quick, kind: latency, targetRatio: 0.9, thresholdMs: 60, windowDays: 7}
`;
const metricsPage = (startSeconds: number, done: number, refused: number) => `# TYPE dogwood_requests_total counter
process_start_time_seconds ${startSeconds}
dogwood_requests_total{database="nets",work_class="short",outcome="done",code=""} ${done}
dogwood_requests_total{database="nets",work_class="short",outcome="not-run",code="overloaded"} ${refused}
dogwood_request_duration_seconds_bucket{le="0.05",database="nets",work_class="short",outcome="done"} ${done / 2}
dogwood_request_duration_seconds_bucket{le="+Inf",database="nets",work_class="short",outcome="done"} ${done}
`;

const startReportFixture = async (t: Test) => {
	const folder = await mkdtemp(join(tmpdir(), 'dogwood-report-'));
	const state = {page: ''};
	const server = createServer((_, response) => response.end(state.page));
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(async () => {
		server.close();
		await rm(folder, {recursive: true});
	});
	await writeFile(join(folder, 'objectives.yaml'), objectives);
	const files = {samples: join(folder, 'samples.jsonl'), objectives: join(folder, 'objectives.yaml'), html: join(folder, 'report.html')};
	const run = async (change: ReportOptions = {}) => {
		let printed = '';
		const exitCode = await runReport({
			proxy: `127.0.0.1:${(server.address() as AddressInfo).port}`, samples: files.samples, objectives: files.objectives, ...change,
		}, pino({level: 'silent'}), text => {
			printed += text;
		});
		return {exitCode, printed};
	};

	const exitCode = async (change: ReportOptions = {}) => {
		const result = await run(change);
		return result.exitCode;
	};

	return {
		files, state, run, exitCode,
	};
};

// Guards against counts that are lost or doubled between readings, also across a restart or an interrupted write.
test('report reads proxies, stores samples and shows what consumed the error budget', async t => {
	const {files, state, run, exitCode: runForExitCode} = await startReportFixture(t);
	const nowSeconds = Math.floor(Date.now() / 1000);
	state.page = metricsPage(nowSeconds - 3600, 1000, 500);
	t.equal(await runForExitCode(), 0, 'the first reading is the base');
	await appendFile(files.samples, '{"atUnixMs": 1, "host"');
	state.page = metricsPage(nowSeconds - 3600, 1400, 560);
	await run();
	// A start time in the future is after the earlier readings, however long they took.
	state.page = metricsPage((Date.now() / 1000) + 1, 400, 0);
	const {printed, exitCode} = await run({json: true, html: files.html});
	t.equal(exitCode, 0);
	const [availability, latency] = (JSON.parse(printed) as ServiceLevelReport).objectives;
	t.match(availability, {
		total: 860, bad: 60, causes: [{
			code: 'overloaded', database: 'nets', workClass: 'short', share: 1,
		}],
	});
	t.match(latency, {
		total: 800, bad: 400, usedThresholdMs: 50, state: 'slow-burn',
	});
	const page = await readFile(files.html, 'utf8');
	t.notMatch(page, /<script|https?:|src=|@import|<b>/, 'one page without external assets or unescaped names');
	t.match(page, 'holds &lt;b&gt;');
	for (const tag of ['svg', 'section', 'table', 'tr', 'td', 'g', 'div', 'style']) {
		t.equal(page.split(`<${tag}`).filter((_, index, parts) => index > 0 && /^[\s>]/.test(parts[index]!)).length, page.split(`</${tag}>`).length - 1, `${tag} closed`);
	}

	const table = await run({proxy: '127.0.0.1:1'});
	t.equal(table.exitCode, 1, 'no proxy answered');
	t.match(table.printed, /Not read this time: 127\.0\.0\.1:1\n[^]*holds <b> +\S+ .*60 of 860/);
});

// Guards against invalid options or objectives that are silently accepted.
test('wrong usage and objectives give exit code 2', async t => {
	const {files, exitCode} = await startReportFixture(t);
	t.equal(await exitCode({samples: undefined}), 2);
	t.equal(await exitCode({objectives: 'none.yaml'}), 2);
	await writeFile(files.objectives, objectives.replace('thresholdMs: 60, ', ''));
	t.equal(await exitCode(), 2, 'latency without a threshold');
	t.equal(await exitCode({samples: '/nowhere/samples', objectives: files.objectives}), 2);
	await writeFile(files.objectives, objectives);
	t.equal(await exitCode({samples: '/nowhere/samples'}), 1);
});

// Guards against label values that are truncated at quotes, commas or braces.
test('Prometheus text is parsed', t => {
	t.same(parsePrometheusText('# HELP a b\na{x="1,\\"}\\n",y=""} 2.5 1700\nb 1e3\nc{le="+Inf"} +Inf\nbroken{ 1\n'), [
		{name: 'a', labels: {x: '1,"}\n', y: ''}, value: 2.5},
		{name: 'b', labels: {}, value: 1000},
		{name: 'c', labels: {le: '+Inf'}, value: Infinity},
	]);
	t.end();
});

// Guards against counters of a database that are left out or altered because of a character in its name.
test('labels are read as the proxy has written them', t => {
	for (const database of ['a b', 'a"b', String.raw`a\n`, 'a\nb', 'a\rb', 'a\u2028b', '} 5', 'a="b",c="', '__proto__', '\u4E2D']) {
		// As the text format 0.0.4 escapes labels: a carriage return and U+2028 are left as they are.
		const escaped = database.replaceAll('\\', '\\\\').replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);
		t.same(parsePrometheusText(`# TYPE requests counter\nrequests{database="${escaped}"} 3\n`), [{name: 'requests', labels: {database}, value: 3}], encodeURIComponent(database));
	}

	t.same(parsePrometheusText('requests constructor'), [{name: 'requests', labels: {}, value: Number.NaN}]);
	t.end();
});
