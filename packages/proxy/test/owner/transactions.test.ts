import {type TransactRequest} from '@dogwoodthread/protocol';
import {type Test, test} from 'tap';
import {completedReply, FakeGroup, lostReply} from '../fixtures/fake-group.js';
import {type OwnerOverrides, TestGroup} from '../fixtures/group.js';
import {
	holdRequest, TestTransaction, toOutcome, waitUntil,
} from '../fixtures/requests.js';

/** A cap that leaves one connection for statements, so that consecutive requests use the same one. */
const oneConnectionCap = 9;

const start = async (t: Test, overrides: OwnerOverrides = {}) => {
	const group = await TestGroup.start(t);
	const owner = await group.startOwner(overrides);
	return {group, owner, openTransaction: () => new TestTransaction(steps => owner.transact(steps))};
};

// Two transactions must not share a connection, which would mix their changes (P3).
test('two concurrent transactions on one pool do not mix their changes', async t => {
	const {group, openTransaction} = await start(t);
	const [first, second] = [openTransaction(), openTransaction()];
	await Promise.all([first.begin(), second.begin()]);
	await Promise.all([first.holdLane('a'), second.holdLane('b')]);
	t.match(await first.rollback(), {kind: 'done', ended: true});
	t.match(await second.commit(), {kind: 'done', ended: true});
	t.same(await group.readLoggedIds(0), ['b']);
});

test('a transaction that finds no free connection does not begin', async t => {
	const {group, openTransaction, owner} = await start(t, {policy: {connectionCap: oneConnectionCap}});
	const first = openTransaction();
	await first.begin();
	await first.holdLane('a');
	t.match(await openTransaction().begin(100), {kind: 'notRun', code: 'no-connection', ended: true});
	t.match(toOutcome(await owner.execute(holdRequest('b'), group.timers.nowMs() + 100)), {kind: 'notRun', code: 'no-connection'});
	t.match(await first.commit(), {kind: 'done'});
	t.same(await group.readLoggedIds(0), ['a']);
});

const endStream = async (transaction: TestTransaction) => {
	transaction.endSteps();
	return transaction.readOutcome();
};

const waitForEnd = async (transaction: TestTransaction) => transaction.readOutcome();
const sendExecute = (value: {statement?: {name: string; parametersJson: string}}) => async (transaction: TestTransaction) => transaction.sendStep({case: 'execute', value: {stepId: 1n, ...value}});

// Each transaction has changed a row when it ends in the way of the case. The change must not stay open on
// the connection, where the next request could commit it or run inside the old transaction (P3).
const endings: Array<[name: string, end: (transaction: TestTransaction) => Promise<unknown>, overrides?: OwnerOverrides['policy']]> = [
	['abandoned', endStream],
	['idle for too long', waitForEnd, {transactionIdleMs: 200}],
	['open for too long', waitForEnd, {transactionTimeoutMs: 300}],
	['rolled back', async transaction => transaction.rollback()],
	['a second begin', async transaction => transaction.begin()],
	['a step without a statement', sendExecute({})],
	['a step that the endpoint refuses', sendExecute({statement: {name: 'no_such', parametersJson: '[]'}})],
];

for (const [name, end, overrides] of endings) {
	test(`transaction: ${name}`, async t => {
		const {group, openTransaction, owner} = await start(t, {policy: {connectionCap: oneConnectionCap, ...overrides}});
		const transaction = openTransaction();
		t.match(await transaction.begin(), {kind: 'done', ended: false});
		t.match(await transaction.holdLane('left'), {kind: 'done'});
		await end(transaction);
		t.equal(await transaction.readOutcome(), undefined, 'no further response');
		t.match(toOutcome(await owner.execute(holdRequest('next'), group.timers.nowMs() + 5000)), {kind: 'done'});
		t.same(await group.readLoggedIds(0), ['next'], 'only the single statement is in the log');
		const nextTransaction = openTransaction();
		t.match(await nextTransaction.begin(), {kind: 'done', ended: false});
		t.match(await nextTransaction.holdLane('following'), {kind: 'done', code: ''});
		t.match(await nextTransaction.commit(), {kind: 'done', ended: true});
		t.same(await group.readLoggedIds(0), ['next', 'following']);
	});
}

// The caller's stream breaks just after the step was sent to the endpoint (P3).
for (const [brokenDuring, expected] of [
	['begin', ['begin', 'rollback']],
	['execute', ['begin', 'execute', 'rollback']],
	['commit', ['begin', 'execute', 'commit']],
] as const) {
	test(`stream broken during ${brokenDuring}`, async t => {
		const group = new FakeGroup();
		const owner = await group.startOwner(1, 10, {policy: {connectionCap: oneConnectionCap}});
		const streamBreak = new AbortController();
		const calls: string[] = [];
		group.respond = async (_memberId, call) => {
			const calledStep = typeof call === 'string' ? call : 'execute';
			calls.push(calledStep);
			if (calledStep === brokenDuring) {
				streamBreak.abort();
				await group.flushPromises();
			}

			return completedReply(1, 10);
		};

		const transaction = new TestTransaction(steps => owner.transact(abortableSteps(steps, streamBreak.signal)));
		await Promise.allSettled([transaction.begin(), transaction.holdLane('left'), transaction.commit()]);
		t.same(calls, expected);
		t.match(await new TestTransaction(steps => owner.transact(steps)).begin(), {kind: 'done'}, 'the next transaction');
		t.equal(group.openedConnections.length, 1, 'uses the same connection');
	});
}

/** Passes the steps on until the signal is aborted, then throws, as a broken stream does. */
async function * abortableSteps(steps: AsyncIterable<TransactRequest>, signal: AbortSignal): AsyncIterable<TransactRequest> {
	for await (const step of steps) {
		signal.throwIfAborted();
		yield step;
	}

	signal.throwIfAborted();
}

// A connection must not be reused if the endpoint did not confirm its rollback (P3).
test('an unconfirmed rollback closes the connection', async t => {
	const group = new FakeGroup();
	const owner = await group.startOwner(1, 10, {policy: {connectionCap: oneConnectionCap}});
	group.respond = async (_memberId, call) => call === 'rollback' ? lostReply : completedReply(1, 10);
	for (const opened of [1, 2]) {
		const transaction = new TestTransaction(steps => owner.transact(steps));
		await transaction.begin();
		await transaction.rollback();
		t.equal(group.openedConnections.length, opened, 'each transaction has a new connection');
	}
});

// A commit that ran must not be reported as "not run", and its retry must not run it again (P2, P3, P6).
test('a commit whose response is lost can be resolved by its request key', async t => {
	const {group, openTransaction} = await start(t, {policy: {progressTimeoutMs: 400}});
	const first = openTransaction();
	await first.begin();
	await first.holdLane('a');
	await group.setFaults(0, {answerDelayMs: 60_000});
	t.match(await first.commit('key'), {kind: 'unknown', code: 'no-answer-in-time', ended: true});
	t.same(await group.readLoggedIds(0), ['a']);
	await group.setFaults(0, {answerDelayMs: 0});
	const retried = openTransaction();
	await retried.begin();
	await retried.holdLane('a');
	t.match(await retried.commit('key'), {kind: 'done', repeated: true, ended: true});
	t.same(await group.readLoggedIds(0), ['a']);
});

test('a commit in a term that has ended does not run', async t => {
	const {group, openTransaction, owner} = await start(t);
	const transaction = openTransaction();
	await transaction.begin();
	await transaction.holdLane('a');
	await group.connector.fence('ledger', group.members[0]!, 2);
	t.match(await transaction.commit('key'), {kind: 'notRun', ended: true});
	t.same(await group.readLoggedIds(0), []);
	await waitUntil(() => owner.state.primary === undefined);
	t.match(await openTransaction().begin(), {kind: 'notRun', code: 'no-primary', ended: true});
});
