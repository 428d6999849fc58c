import {type ExecuteRequest} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {completedReply, FakeGroup} from '../fixtures/fake-group.js';
import {type OwnerOverrides, createSeat, TestGroup} from '../fixtures/group.js';
import {
	database, holdRequest, type Outcome, payRequest, tokens, toOutcome, waitUntil,
} from '../fixtures/requests.js';

type Owner = Awaited<ReturnType<TestGroup['startOwner']>>;

const run = async (owner: Owner, group: TestGroup, request: ExecuteRequest) => toOutcome(await owner.execute(request, group.timers.nowMs() + request.timeoutMs));

// A write that only the primary has must not be acknowledged, since a failover would lose it (P2).
test('writes at a primary isolated from its group are not acknowledged', async t => {
	const group = await TestGroup.start(t);
	const owner = await group.startOwner({policy: {unconfirmedBoundMs: 300}});
	await group.setFaults(0, {cutFromGroup: true});
	const startMs = group.timers.nowMs();
	// Long enough for the endpoint's own answer on a starved machine; the confirmation never comes.
	const timeoutMs = 3000;
	const outcomes = await Promise.all(['a', 'b'].map(async id => run(owner, group, holdRequest(id, {timeoutMs, key: id}))));
	t.match(outcomes, [{kind: 'unknown', code: 'confirmation-timeout'}, {kind: 'unknown', code: 'confirmation-timeout'}]);
	t.ok(group.timers.nowMs() - startMs >= timeoutMs, 'not before the deadline');
	t.same(await group.readLoggedIds(1), [], 'no replica has the writes');

	// While replication is behind, new writes are refused immediately and do not run, although no write is waiting any more (P5).
	const refused = await run(owner, group, holdRequest('d'));
	t.match(refused, {kind: 'notRun', code: 'replication-behind'});
	t.ok(refused.retryAfterMs > 0);
	t.equal(await group.countRuns(0, 'd'), 0);
	await group.setFaults(0, {cutFromGroup: false});
	await waitUntil(async () => {
		const retried = await run(owner, group, holdRequest('c', {key: 'c'}));
		return retried.kind === 'done';
	});
	t.match(await run(owner, group, holdRequest('a', {key: 'a'})), {kind: 'done', repeated: true});
});

type Report = [memberId: string, term: number, index: number];

// The write completes at (1, 11). The owner gets the first reports before its pause and the others after it (P2).
const pauseCases: Array<[name: string, before: Report[], after: Report[], expected: Partial<Outcome>]> = [
	['a majority has the write', [], [['m0', 1, 11], ['m1', 1, 11]], {kind: 'done'}],
	['only the primary has the write', [], [['m0', 1, 11]], {kind: 'unknown', code: 'confirmation-timeout'}],
	['a majority had the write before the pause, then a promotion', [['m0', 1, 11], ['m1', 1, 11]], [['m1', 2, 12]], {kind: 'done'}],
	['the next primary has another entry at the index', [['m0', 1, 11]], [['m1', 2, 12], ['m2', 2, 12]], {kind: 'unknown', code: 'term-changed'}],
	['replicas are fenced at the next term', [], [['m0', 1, 11], ['m2', 2, 11]], {kind: 'unknown', code: 'confirmation-timeout'}],
];

for (const [name, before, after, expected] of pauseCases) {
	test(`paused between the endpoint's reply and the response: ${name}`, async t => {
		const group = new FakeGroup();
		const owner = await group.startOwner(1, 10);
		group.respond = async () => {
			for (const [memberId, term, index] of before) {
				group.reportStatus(memberId, term, index, {role: memberId === 'm0' ? 'primary' : 'replica'});
			}

			return completedReply(1, 11);
		};

		const response = owner.execute(holdRequest('a'), group.timers.nowMs() + 1000);
		await group.flushPromises();
		for (const [memberId, term, index] of after) {
			group.reportStatus(memberId, term, index, {role: memberId === 'm0' || (memberId === 'm1' && term === 2) ? 'primary' : 'replica'});
		}

		await group.timers.advanceAsync(1000, 50);
		t.match(toOutcome(await response), expected);
	});
}

// A session must not move backwards after the database was restored to an earlier state (P1).
test('a write does not move the session back behind its token', async t => {
	const group = new FakeGroup();
	const owner = await group.startOwner(1, 10);
	group.respond = async () => completedReply(1, 10);
	const token = tokens.encode({database, term: 1, index: 99});
	t.match(toOutcome(await owner.execute(holdRequest('a', {token}), group.timers.nowMs() + 1000)), {kind: 'done', token});
});

type Fault = (group: TestGroup, owner: Owner) => Promise<unknown>;

const noFault: Fault = async () => undefined;
const primaryFault = (changes: Parameters<TestGroup['setFaults']>[1]): Fault => async group => group.setFaults(0, changes);
const fillQueue: Fault = async (group, owner) => {
	await group.setFaults(0, {answerDelayMs: 500});
	void run(owner, group, payRequest('first', {timeoutMs: 4000}));
	void run(owner, group, payRequest('second', {timeoutMs: 4000}));
	await waitUntil(async () => await group.countRuns(0, 'first') === 1 && await group.countRuns(0, 'second') === 1);
};

const unknownStatement: ExecuteRequest = {...payRequest('x'), statement: {$typeName: 'dogwoodthread.v1.Statement', name: 'no_such', parametersJson: '[]'}};
const dayMs = 86_400_000;
const keyedPayment = payRequest('x', {timeoutMs: 2000, key: 'x'});

// A write that ran must not be reported as "not run", and an incomplete response or one to another request must not be accepted (P4, P5).
const refusalCases: Array<[name: string, injectFault: Fault, expected: Partial<Outcome>, request?: ExecuteRequest, overrides?: OwnerOverrides['policy']]> = [
	['before: the endpoint accepts no connection', primaryFault({refuseConnections: true}), {kind: 'notRun', code: 'no-connection'}],
	['before: the endpoint is frozen', primaryFault({frozen: true}), {kind: 'notRun', code: 'no-connection'}, payRequest('x', {timeoutMs: 400}), {connectTimeoutMs: 200}],
	['before: the queue is full', fillQueue, {kind: 'notRun', code: 'overloaded'}, keyedPayment, {admission: {slots: 2, longSlots: 1, queueLength: 0}}],
	['before: the term of the owner has ended', async group => group.connector.fence('ledger', group.members[0]!, 2), {kind: 'notRun', code: 'no-primary'}],
	['at: the endpoint refuses the statement', noFault, {kind: 'notRun', code: 'refused-by-endpoint', retryAfterMs: 0}, unknownStatement],
	['at: the key belongs to another statement', async (group, owner) => run(owner, group, payRequest('first', {key: 'x'})), {kind: 'notRun', code: 'request-key-reused', retryAfterMs: 0}],
	['at: the key is older than the retention of its record', noFault, {kind: 'notRun', code: 'request-key-expired', retryAfterMs: 0}, payRequest('x', {key: 'k', issuedUnixMs: Date.now() - dayMs})],
	['after: the response does not arrive in time', primaryFault({answerDelayMs: 60_000}), {kind: 'unknown'}, keyedPayment, {progressTimeoutMs: 300}],
	['after: the stream breaks in the middle of the rows', primaryFault({dropMidRows: true}), {kind: 'unknown', code: 'connection-lost'}],
	['after: a response for an id that was never issued', primaryFault({crossAnswers: true}), {kind: 'unknown', code: 'incomplete-answer'}],
];

for (const [name, injectFault, expected, request = keyedPayment, overrides] of refusalCases) {
	test(`write, ${name}`, async t => {
		const group = await TestGroup.start(t);
		const owner = await group.startOwner({policy: overrides});
		// Opens the connection first, so that response faults affect the write and not the opening of the connection.
		if (name.startsWith('a')) {
			t.match(await run(owner, group, payRequest('warm')), {kind: 'done'});
		}

		await injectFault(group, owner);
		t.match(await run(owner, group, request), expected);
		t.equal(await group.countRuns(0, 'x'), expected.kind === 'notRun' ? 0 : 1, 'the log of the endpoint');
		if (expected.kind === 'unknown') {
			await group.setFaults(0, {answerDelayMs: 0, dropMidRows: false, crossAnswers: false});
			await waitUntil(async () => {
				const retried = await run(owner, group, request);
				return retried.kind === 'done';
			});
			t.equal(await group.countRuns(0, 'x'), 1, 'the retry did not run the write again');
		}
	});
}

// A payment must not run twice when its caller retries it through another proxy (P6).
test('a retry with the same request key', async t => {
	const group = await TestGroup.start(t, {serviceMs: {pay_deposit: 100}});
	const owners = [await group.startOwner({isActing: () => true}), await group.startOwner({seat: createSeat(1), hostId: 'p1'})] as const;
	const [firstOutcome, secondOutcome] = await Promise.all(owners.map(async owner => run(owner, group, payRequest('p', {key: 'p'}))));
	t.match([firstOutcome?.kind, secondOutcome?.kind], ['done', 'done']);
	t.same(new Set([firstOutcome?.repeated, secondOutcome?.repeated]), new Set([false, true]), 'during the first run, through another owner');
	await group.setFaults(0, {frozen: true});
	await waitUntil(() => owners.every(({state}) => state.tracker.term > 1 && state.primary !== undefined));
	t.match(await run(owners[1], group, payRequest('p', {key: 'p'})), {kind: 'done', repeated: true, rows: firstOutcome?.rows}, 'after a promotion');
	t.match(await run(owners[1], group, payRequest('q', {key: 'p'})), {kind: 'notRun', code: 'request-key-reused'}, 'with another statement');
	const primary = Number(owners[1].state.primary!.member.memberId.slice(1));
	t.same(await group.readLoggedIds(primary), ['p']);
});
