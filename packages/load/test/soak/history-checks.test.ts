import {emptyLog, type LogEntry, type RunRecord} from '@dogwoodthread/platform/standin';
import {test} from 'tap';
import {type ClientAttempt, type SoakHistory} from '../../src/soak/definitions.js';
import {checkFencingTokens, checkSoakHistory, isConfigurationLate} from '../../src/soak/domain/history-checks.js';

const commit = (previous: LogEntry, ...statementIds: string[]): LogEntry => ({
	term: 1, index: previous.index + 1, previous, statementIds, changes: statementIds.map(id => ['lane', `data-${id}`] as const),
});

const attempt = (statementId: string, sentAtMs: number, overrides: Partial<ClientAttempt> = {}): ClientAttempt => ({
	statementId,
	sessionId: 1,
	transactionId: undefined,
	hostIndex: 0,
	database: 'holds',
	access: 'write',
	item: 'lane',
	data: `data-${statementId}`,
	shape: undefined,
	text: `WRITE lane data-${statementId}`,
	sessionValues: {tz: 'EAT'},
	beganAtMs: sentAtMs,
	sentAtMs,
	endedAtMs: sentAtMs + 10,
	outcome: 'done',
	reason: '',
	signature: `signed-${statementId}`,
	rows: [],
	...overrides,
});

const run = (statementId: string, applied: LogEntry, overrides: Partial<RunRecord> = {}): RunRecord => ({
	service: 'ledger',
	instanceId: 'i-1',
	connectionId: 1,
	transactionId: undefined,
	statementId,
	access: 'write',
	item: 'lane',
	data: `data-${statementId}`,
	shape: undefined,
	text: `WRITE lane data-${statementId}`,
	sessionValues: {tz: 'EAT'},
	applied,
	signature: `signed-${statementId}`,
	rows: [],
	ranAtMs: 0,
	...overrides,
});

const read = {
	access: 'read', data: undefined, text: 'READ lane', rows: ['data-w1'],
} as const;
const first = commit(emptyLog, 'w1');
const second = commit(first, 'w2', 'w3');

/** A single write, a read, and a transaction with two writes and a commit; without violations. */
const validHistory: SoakHistory = {
	attempts: [
		attempt('w1', 100),
		attempt('r1', 200, read),
		attempt('w2', 300, {transactionId: 7}),
		attempt('w3', 320, {transactionId: 7}),
		attempt('c1', 340, {
			transactionId: 7, access: 'commit', item: undefined, data: undefined, text: 'COMMIT',
		}),
	],
	runs: [
		run('w1', emptyLog),
		run('r1', first, read),
		run('w2', first, {transactionId: 70}),
		run('w3', first, {transactionId: 70}),
		run('c1', first, {
			transactionId: 70, access: 'commit', item: undefined, data: undefined, text: 'COMMIT',
		}),
	],
	controls: [],
	protocolViolations: [],
	databases: [{
		name: 'holds', service: 'ledger', consistency: 'primary', maxStalenessMs: 0,
	}],
	finalLogs: [{service: 'ledger', head: second}],
	drained: [],
	stops: [],
	disturbances: [],
};

const withRun = (statementId: string, overrides: Partial<RunRecord>): Partial<SoakHistory> => ({
	runs: validHistory.runs.map(each => each.statementId === statementId ? {...each, ...overrides} : each),
});

const withAttempt = (statementId: string, overrides: Partial<ClientAttempt>): Partial<SoakHistory> => ({
	attempts: validHistory.attempts.map(each => each.statementId === statementId ? {...each, ...overrides} : each),
});

const stop = {
	hostIndex: 0, fromMs: 195, untilMs: 6195, wasKilled: false,
};
const connectionClosed = {outcome: 'unknown', reason: 'closed'} as const;

const cases: Record<string, Partial<SoakHistory>> = {
	'no violation': {},
	'an acknowledged write is missing': {finalLogs: [{service: 'ledger', head: commit(emptyLog, 'w2', 'w3')}]},
	'a write of an acknowledged transaction is missing': {finalLogs: [{service: 'ledger', head: commit(first, 'w2')}]},
	'a write is in two commits': {finalLogs: [{service: 'ledger', head: commit(second, 'w1')}]},
	'an instance ran other data': withRun('w1', {data: 'altered'}),
	'an instance ran a statement that no client sent': {runs: [...validHistory.runs, run('x1', first)]},
	'an instance ran another shape': withRun('r1', {shape: 'q2'}),
	'an instance ran another text with the same fields': withRun('w1', {text: 'WRITE  lane data-w1'}),
	'an instance ran a prepared statement under another name': {
		...withRun('r1', {shape: 'q2', text: 'EXECUTE r_1 lane'}), ...withAttempt('r1', {shape: 'q2', text: 'EXECUTE s1 lane'}),
	},
	'an instance ran a part of the shape as the item': {
		...withRun('r1', {shape: 'ulwt READ qb READ ulwt', item: 'READ', text: 'EXECUTE r_qb READ ulwt 17'}),
		...withAttempt('r1', {shape: 'qb READ ulwt', item: '17', text: 'EXECUTE s1 17'}),
	},
	'an instance received a message that the grammar does not allow': {
		protocolViolations: [{
			instanceId: 'i-1', connectionId: 1, line: 'QUERY - PREPARE r_a b READ a b', reason: 'expected READ or WRITE', receivedAtMs: 0,
		}],
	},
	'valid text was refused as malformed': {attempts: [...validHistory.attempts, attempt('r2', 200, {...read, outcome: 'unknown', reason: 'malformed'})]},
	'the answer has rows that only look the same when they are joined': {...withRun('r1', {rows: ['a', 'b']}), ...withAttempt('r1', {rows: ['a\nb']})},
	'the answer has other rows': withAttempt('r1', {rows: ['data-w9']}),
	'the answer does not have the signature of an instance': withAttempt('w1', {signature: '-'}),
	'a refused write is in the log': withAttempt('w1', {outcome: 'promised-not-run', reason: 'busy'}),
	'the writes of a refused transaction are in the log': withAttempt('c1', {outcome: 'promised-not-run', reason: 'aborted'}),
	'a read misses an acknowledged commit': withRun('r1', {applied: emptyLog}),
	'a read may miss a commit that is newer than the allowed staleness': {
		...withRun('r1', {applied: emptyLog}), databases: [{
			name: 'holds', service: 'ledger', consistency: 'bounded-staleness', maxStalenessMs: 1000,
		}],
	},
	'a read misses a commit of its own session': {
		...withRun('r1', {applied: emptyLog}), databases: [{
			name: 'holds', service: 'ledger', consistency: 'read-your-writes', maxStalenessMs: 1000,
		}],
	},
	'a statement ran in another client\'s transaction': withRun('w1', {transactionId: 70}),
	'a statement ran outside its transaction': withRun('w3', {transactionId: undefined}),
	'a statement ran with the values of another session': withRun('r1', {sessionValues: {tz: 'UTC'}}),
	'another service ran the statement': withRun('w1', {service: 'boards'}),
	'a statement reached an instance after the time limit of its drain': {...withRun('w1', {ranAtMs: 8000}), drained: [{instanceId: 'i-1', acknowledgedAtMs: 900}]},
	'a statement reached a draining instance late because of a fault': {
		...withRun('w1', {ranAtMs: 8000}), drained: [{instanceId: 'i-1', acknowledgedAtMs: 900}], disturbances: [{fromMs: 2000, untilMs: 3000}],
	},
	'a stopping host closed the connection of a statement that ran': {...withAttempt('r1', connectionClosed), stops: [stop]},
	'a stopping host closed the connection of a statement that waited': {attempts: [...validHistory.attempts, attempt('r2', 200, {...read, ...connectionClosed, endedAtMs: 500})], stops: [stop]},
	'a stopping host closed an idle connection just as a statement was sent': {attempts: [...validHistory.attempts, attempt('r2', 200, {...read, ...connectionClosed, endedAtMs: 201})], stops: [stop]},
};

// Guards against a soak test that passes whatever the daemon does: each check must find its violation and no other.
test('each check finds its violation', t => {
	t.matchSnapshot(Object.entries(cases).map(([name, overrides]) => [name, checkSoakHistory({...validHistory, ...overrides}).map(({kind, statementId}) => `${kind} ${statementId}`)]));
	t.end();
});

// Guards against a check that accepts a late configuration because the change was made during a fault or just after it.
test('the time limit of a configuration applies again once the fault has been over for the stable time', t => {
	const disturbances = [{fromMs: 5000, untilMs: 8000}];
	const isLate = (acknowledgedAtMs: number, sentAtMs: number) => isConfigurationLate({acknowledgedAtMs, sentAtMs, answeredAtMs: sentAtMs + 10}, {disturbances});
	t.matchSnapshot({
		'changed during the fault, sent before the limit applies': isLate(7000, 11_900),
		'changed during the fault, sent late': isLate(7000, 12_100),
		'changed just after the fault, sent before the limit applies': isLate(8100, 11_900),
		'changed just after the fault, sent late': isLate(8100, 12_100),
		'sent within the limit': isLate(11_500, 14_400),
		'undisturbed, sent late': isLate(20_000, 23_100),
		'undisturbed change, sent during the next fault': isLate(1000, 5100),
	});
	t.end();
});

// Guards against a soak that does not notice two holders of one fencing token, or a holder that acts after its successor.
test('orders with a used or a lower fencing token are found', t => {
	const order = (holder: string, token: number) => ({holder, token});
	t.same(checkFencingTokens([order('a', 1), order('a', 1), order('b', 2)]), []);
	t.match(checkFencingTokens([order('a', 1), order('b', 1)]), [{kind: 'fencing', detail: 'b ordered a promotion with token 1 after a used 1'}]);
	t.match(checkFencingTokens([order('a', 1), order('b', 2), order('a', 1)]), [{kind: 'fencing', detail: 'a ordered a promotion with token 1 after b used 2'}]);
	t.end();
});
