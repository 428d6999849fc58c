import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'tap';
import {toInlineText} from '../../src/cli/index.js';
import {runCtl} from '../run.js';

const formatLogLine = (hostId: string, monotonicMs: number, event: string, fields: Record<string, unknown>, time = 1_700_000_000_000 + monotonicMs) =>
	JSON.stringify({
		level: 30, time, hostId, event, monotonicMs, ...fields,
	});

const refused = {
	requestId: 'q1', service: 'ledger', code: 'busy', reason: 'leader-unknown', totalMs: 1000,
};
const forwarded = {
	requestId: 'q2', service: 'ledger', code: 'in-doubt', reason: 'connection-lost', totalMs: 80,
};

const log = [
	`  12.3 front-a ${formatLogLine('front-a', 5000, 'leader-unknown', {
		service: 'ledger', from: 'i-1', to: 'none', term: 1, source: 'status',
	})}`,
	formatLogLine('front-a', 1000, 'leader-changed', {
		service: 'ledger', from: 'none', to: 'i-1', term: 1, source: 'status',
	}),
	formatLogLine('front-b', 5500, 'promotion-started', {service: 'ledger', reason: 'leader-unreachable'}),
	// The wall clock of front-a stepped back between its two lines.
	formatLogLine('front-a', 6100, 'request-refused', refused, 1_600_000_000_000),
	formatLogLine('front-a', 6200, 'request-failed', forwarded),
	formatLogLine('front-c', 9000, 'forwarded-request-failed', {
		requestId: 'q2', service: 'ledger', code: 'timeout', reason: 'endpoint-silent',
	}),
	// The same host after a restart: its monotonic time started from zero again.
	formatLogLine('front-a', 6050, 'endpoint-unreachable', {service: 'ledger', endpointId: 'i-2', incarnation: 'later'}),
	formatLogLine('front-a', 6300, 'request-refused', {
		requestId: 'q4', database: 'holds', code: 'aborted', reason: 'endpoint-silent', transactionIds: 'q3 q4',
	}),
	formatLogLine('front-b', 6400, 'client-left', {requestId: 'q5', database: 'holds', waitedMs: 1500}),
	formatLogLine('front-b', 6500, 'request-served', {
		requestId: 'q6', totalMs: 900, positionMs: 0, connectionMs: 650,
	}),
	formatLogLine('front-d', 100, 'process-started', {incarnation: 'first'}),
	formatLogLine('front-d', 4000, 'host-appeared', {incarnation: 'first'}),
	formatLogLine('front-d', 60, 'process-started', {incarnation: 'second'}, 1_700_000_009_000),
	formatLogLine('front-e', 3500, 'process-stopped', {incarnation: 'first'}),
	formatLogLine('front-e', 60, 'process-started', {incarnation: 'second'}, 1_700_000_009_500),
	formatLogLine('front-e', 2000, 'lines-suppressed', {of: 'request-refused', count: 12, incarnation: 'first'}),
	formatLogLine('front-e', 3000, 'clock-discontinuity', {jumpMs: 2500, incarnation: 'first'}),
	formatLogLine('front-f', 1000, 'request-served', {requestId: 'q7', totalMs: 5}, 1_699_999_980_000),
	'{"level":30,"time":17000',
	'',
].join('\n');

// Guards against an explanation that orders lines by stepped wall clocks, considers only the first host, or fails on a truncated log.
test('explain joins the lines of a request and names the cause', async t => {
	const file = join(t.testdir(), 'log');
	writeFileSync(file, log);
	t.matchSnapshot([
		await runCtl('explain', 'q1', file),
		await runCtl('explain', 'q2', file, '--json'),
		await runCtl('explain', 'q3', file),
		await runCtl('explain', 'q5', file),
		await runCtl('explain', 'q6', file),
		await runCtl('explain', 'q9', file),
		await runCtl('explain', 'q9', file, '--from', '2023-11-14T22:13:28Z'),
		await runCtl('explain', '--database', 'holds', file),
		await runCtl('explain', 'q1', file, '--from', 'yesterday'),
		await runCtl('explain'),
	]);
});

/** Text of a client that continues as a line of the command would, and as sequences that a terminal acts on. */
const forgedLine = '2023-11-14T22:13:20.000Z front-z +1 ms request-served requestId=q9';
const forgingTexts = [`\n${forgedLine}`, `\r\n${forgedLine}`, `\u0085${forgedLine}`, `\u2028${forgedLine}`, '\u001B[2K\u009B1A', '\u202Eback', ' code=served'];

// Guards against an id, a database or an error text that looks like lines and fields of the command, or acts on the terminal of its reader.
test('text of clients and instances stays within its field', async t => {
	const file = join(t.testdir(), 'log');
	for (const [index, text] of forgingTexts.entries()) {
		writeFileSync(file, formatLogLine('front-a', 6100, 'request-failed', {
			...refused, requestId: `q1${text}`, database: `holds${text}`, reason: 'endpoint-error', detail: `refused${text}`,
		}));
		const outputs = [await runCtl('explain', `q1${text}`, file), await runCtl('explain', '--database', `holds${text}`, file), await runCtl('explain', `q9${text}`, file)];
		t.same(outputs.map(({code}) => code), [0, 0, 1]);
		const lines = outputs.flatMap(({output}) => output.split(/\r?\n|[\u0085\u2028]/)).filter(line => line !== '');
		t.same(lines.map(line => /^(?:TIME|Ended|1 failed|No line) /.exec(line)?.[0]), ['TIME ', 'Ended ', 'TIME ', '1 failed ', 'No line '], `text ${index}`);
		t.notOk(/\p{Cc}|\p{Cf}/u.test(lines.join('')));
	}

	writeFileSync(file, formatLogLine('front-a', 6100, 'request-refused', {...refused, requestId: 'q1 code="served'}));
	t.match(await runCtl('explain', 'q1 code="served', file), {output: String.raw`requestId="q1 code=\"served" service=ledger code=busy`});
	// What is escaped cannot be told from what a client has written itself unless the escape character is escaped too.
	t.notSame(toInlineText('\n'), toInlineText(String.raw`\u000a`));
});

// Guards against an id or a file that is taken for several because of a character in it.
test('an id and a file may hold any character of a name', async t => {
	const file = join(t.testdir(), 'a,b log');
	writeFileSync(file, formatLogLine('front-a', 6100, 'request-refused', {...refused, requestId: 'q1,q2'}));
	t.match(await runCtl('explain', 'q1,q2', file), {code: 0, output: /no primary was known/});
	t.match(await runCtl('explain', 'q1', file), {code: 1});
});
