import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'tap';
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
