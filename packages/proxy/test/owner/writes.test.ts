import {type ExecuteRequest} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {completed, FakeGroup} from '../fixtures/fake-group.js';
import {type OwnerOverrides, seatOf, TestGroup} from '../fixtures/group.js';
import {
	database, hold, type Outcome, pay, tokens, toOutcome, until,
} from '../fixtures/requests.js';

type Owner = Awaited<ReturnType<TestGroup['own']>>;

const run = async (owner: Owner, group: TestGroup, request: ExecuteRequest) => toOutcome(await owner.execute(request, group.timers.nowMs() + request.timeoutMs));

// Guards against an acknowledgement by the primary alone, which a failover would lose (P2).
test('a primary that is cut off from its group acknowledges nothing', async t => {
	const group = await TestGroup.start(t);
	const owner = await group.own({policy: {unconfirmedBoundMs: 300}});
	await group.faults(0, {cutFromGroup: true});
	const startMs = group.timers.nowMs();
	const outcomes = await Promise.all(['a', 'b'].map(async id => run(owner, group, hold(id, {timeoutMs: 900, key: id}))));
	t.match(outcomes, [{kind: 'unknown', code: 'confirmation-timeout'}, {kind: 'unknown', code: 'confirmation-timeout'}]);
	t.ok(group.timers.nowMs() - startMs >= 900, 'not before the deadline');
	t.same(await group.logged(1), [], 'no replica has them');

	// Replication behind: new writes are refused at once, and do not run, although nothing waits any more (P5).
	const refused = await run(owner, group, hold('d'));
	t.match(refused, {kind: 'notRun', code: 'replication-behind'});
	t.ok(refused.retryAfterMs > 0);
	t.equal(await group.runs(0, 'd'), 0);
	await group.faults(0, {cutFromGroup: false});
	await until(async () => {
		const again = await run(owner, group, hold('c', {key: 'c'}));
		return again.kind === 'done';
	});
	t.match(await run(owner, group, hold('a', {key: 'a'})), {kind: 'done', repeated: true});
});

type Report = [memberId: string, term: number, index: number];

// The write completes at (1, 11); the proxy hears the first reports before and the others after its pause (P2).
const pauseCases: Array<[name: string, before: Report[], after: Report[], expected: Partial<Outcome>]> = [
	['a majority has it', [], [['m0', 1, 11], ['m1', 1, 11]], {kind: 'done'}],
	['only the primary has it', [], [['m0', 1, 11]], {kind: 'unknown', code: 'confirmation-timeout'}],
	['a majority had it before the pause, then a promotion', [['m0', 1, 11], ['m1', 1, 11]], [['m1', 2, 12]], {kind: 'done'}],
	['the next primary, with another entry at the index', [['m0', 1, 11]], [['m1', 2, 12], ['m2', 2, 12]], {kind: 'unknown', code: 'term-changed'}],
	['replicas that are fenced at the next term', [], [['m0', 1, 11], ['m2', 2, 11]], {kind: 'unknown', code: 'confirmation-timeout'}],
];

for (const [name, before, after, expected] of pauseCases) {
	test(`paused between the endpoint's answer and its own: ${name}`, async t => {
		const group = new FakeGroup();
		const owner = await group.own(1, 10);
		group.answer = async () => {
			for (const [memberId, term, index] of before) {
				group.report(memberId, term, index, {role: memberId === 'm0' ? 'primary' : 'replica'});
			}

			return completed(1, 11);
		};

		const answer = owner.execute(hold('a'), group.timers.nowMs() + 1000);
		await group.turn();
		for (const [memberId, term, index] of after) {
			group.report(memberId, term, index, {role: memberId === 'm0' || (memberId === 'm1' && term === 2) ? 'primary' : 'replica'});
		}

		await group.timers.advanceAsync(1000, 50);
		t.match(toOutcome(await answer), expected);
	});
}

// Guards against a session that moves backwards after a restore of the database (P1).
test('a write does not take the session back behind its token', async t => {
	const group = new FakeGroup();
	const owner = await group.own(1, 10);
	group.answer = async () => completed(1, 10);
	const token = tokens.encode({database, term: 1, index: 99});
	t.match(toOutcome(await owner.execute(hold('a', {token}), group.timers.nowMs() + 1000)), {kind: 'done', token});
});

type Strike = (group: TestGroup, owner: Owner) => Promise<unknown>;

const none: Strike = async () => undefined;
const fault = (changes: Parameters<TestGroup['faults']>[1]): Strike => async group => group.faults(0, changes);
const fillQueue: Strike = async (group, owner) => {
	await group.faults(0, {answerDelayMs: 500});
	void run(owner, group, pay('first', {timeoutMs: 4000}));
	void run(owner, group, pay('second', {timeoutMs: 4000}));
	await until(async () => await group.runs(0, 'first') === 1 && await group.runs(0, 'second') === 1);
};

const unknownStatement: ExecuteRequest = {...pay('x'), statement: {$typeName: 'dogwoodthread.v1.Statement', name: 'no_such', parametersJson: '[]'}};
const dayMs = 86_400_000;
const keyed = pay('x', {timeoutMs: 2000, key: 'x'});

// Guards against "not run" for what ran, and against a short or foreign answer (P4, P5).
const refusalCases: Array<[name: string, strike: Strike, expected: Partial<Outcome>, request?: ExecuteRequest, overrides?: OwnerOverrides['policy']]> = [
	['before: the endpoint accepts no connection', fault({refuseConnections: true}), {kind: 'notRun', code: 'no-connection'}],
	['before: the endpoint is frozen', fault({frozen: true}), {kind: 'notRun', code: 'no-connection'}, pay('x', {timeoutMs: 400}), {connectTimeoutMs: 200}],
	['before: the queue is full', fillQueue, {kind: 'notRun', code: 'overloaded'}, keyed, {admission: {slots: 2, longSlots: 1, queueLength: 0}}],
	['before: the term of the owner is over', async group => group.connector.fence('ledger', group.members[0]!, 2), {kind: 'notRun', code: 'no-primary'}],
	['at: the endpoint refuses the statement', none, {kind: 'notRun', code: 'refused-by-endpoint', retryAfterMs: 0}, unknownStatement],
	['at: the key belongs to another statement', async (group, owner) => run(owner, group, pay('first', {key: 'x'})), {kind: 'notRun', code: 'request-key-reused', retryAfterMs: 0}],
	['at: the key is older than its record may be', none, {kind: 'notRun', code: 'request-key-expired', retryAfterMs: 0}, pay('x', {key: 'k', issuedUnixMs: Date.now() - dayMs})],
	['after: the answer does not come in time', fault({answerDelayMs: 60_000}), {kind: 'unknown'}, keyed, {progressTimeoutMs: 300}],
	['after: the stream is cut in the middle of the rows', fault({dropMidRows: true}), {kind: 'unknown', code: 'connection-lost'}],
	['after: an answer for an id that was never issued', fault({crossAnswers: true}), {kind: 'unknown', code: 'incomplete-answer'}],
];

for (const [name, strike, expected, request = keyed, overrides] of refusalCases) {
	test(`write, ${name}`, async t => {
		const group = await TestGroup.start(t);
		const owner = await group.own({policy: overrides});
		// One warm connection, so that faults of answers strike the write and not the opening.
		if (name.startsWith('a')) {
			t.match(await run(owner, group, pay('warm')), {kind: 'done'});
		}

		await strike(group, owner);
		t.match(await run(owner, group, request), expected);
		t.equal(await group.runs(0, 'x'), expected.kind === 'notRun' ? 0 : 1, 'the log of the endpoint');
		if (expected.kind === 'unknown') {
			await group.faults(0, {answerDelayMs: 0, dropMidRows: false, crossAnswers: false});
			await until(async () => {
				const repeat = await run(owner, group, request);
				return repeat.kind === 'done';
			});
			t.equal(await group.runs(0, 'x'), 1, 'the repeat did not run again');
		}
	});
}

// Guards against a payment that runs twice when its caller repeats it elsewhere (P6).
test('a repeat by request key', async t => {
	const group = await TestGroup.start(t, {serviceMs: {pay_deposit: 100}});
	const owners = [await group.own({isActing: () => true}), await group.own({seat: seatOf(1), hostId: 'p1'})] as const;
	const [during, beside] = await Promise.all(owners.map(async owner => run(owner, group, pay('p', {key: 'p'}))));
	t.match([during?.kind, beside?.kind], ['done', 'done']);
	t.same(new Set([during?.repeated, beside?.repeated]), new Set([false, true]), 'during the first run, through the other owner');
	await group.faults(0, {frozen: true});
	await until(() => owners.every(({state}) => state.tracker.term > 1 && state.primary !== undefined));
	t.match(await run(owners[1], group, pay('p', {key: 'p'})), {kind: 'done', repeated: true, rows: during?.rows}, 'after a promotion');
	t.match(await run(owners[1], group, pay('q', {key: 'p'})), {kind: 'notRun', code: 'request-key-reused'}, 'with another statement');
	const primary = Number(owners[1].state.primary!.member.memberId.slice(1));
	t.same(await group.logged(primary), ['p']);
});
