import {type TransactRequest} from '@dogwoodthread/protocol';
import {type Test, test} from 'tap';
import {completed, FakeGroup, lost} from '../fixtures/fake-group.js';
import {type OwnerOverrides, TestGroup} from '../fixtures/group.js';
import {
	hold, TestTransaction, toOutcome, until,
} from '../fixtures/requests.js';

/** A cap that leaves one connection for statements, so that the next user gets the same one. */
const oneConnection = 9;

const start = async (t: Test, overrides: OwnerOverrides = {}) => {
	const group = await TestGroup.start(t);
	const owner = await group.own(overrides);
	return {group, owner, open: () => new TestTransaction(steps => owner.transact(steps))};
};

// Guards against two transactions on one connection, whose changes would be mixed (P3).
test('two transactions on one pool', async t => {
	const {group, open} = await start(t);
	const [first, second] = [open(), open()];
	await Promise.all([first.begin(), second.begin()]);
	await Promise.all([first.hold('a'), second.hold('b')]);
	t.match(await first.rollback(), {kind: 'done', ended: true});
	t.match(await second.commit(), {kind: 'done', ended: true});
	t.same(await group.logged(0), ['b']);
});

test('a transaction that finds no free connection does not begin', async t => {
	const {group, open, owner} = await start(t, {policy: {connectionCap: oneConnection}});
	const first = open();
	await first.begin();
	await first.hold('a');
	t.match(await open().begin(100), {kind: 'notRun', code: 'no-connection', ended: true});
	t.match(toOutcome(await owner.execute(hold('b'), group.timers.nowMs() + 100)), {kind: 'notRun', code: 'no-connection'});
	t.match(await first.commit(), {kind: 'done'});
	t.same(await group.logged(0), ['a']);
});

const goAway = async (transaction: TestTransaction) => {
	transaction.end();
	return transaction.next();
};

const wait = async (transaction: TestTransaction) => transaction.next();
const step = (value: {statement?: {name: string; parametersJson: string}}) => async (transaction: TestTransaction) => transaction.step({case: 'execute', value: {stepId: 1n, ...value}});

// Each transaction has changed a row when it ends as the case says. Guards against a change that stays open
// on the connection and is committed by, or hides the work of, the next user (P3).
const endings: Array<[name: string, end: (transaction: TestTransaction) => Promise<unknown>, overrides?: OwnerOverrides['policy']]> = [
	['abandoned', goAway],
	['idle for too long', wait, {transactionIdleMs: 200}],
	['open for too long', wait, {transactionTimeoutMs: 300}],
	['rolled back', async transaction => transaction.rollback()],
	['a second begin', async transaction => transaction.begin()],
	['a step without a statement', step({})],
	['a step that the endpoint refuses', step({statement: {name: 'no_such', parametersJson: '[]'}})],
];

for (const [name, end, overrides] of endings) {
	test(`transaction: ${name}`, async t => {
		const {group, open, owner} = await start(t, {policy: {connectionCap: oneConnection, ...overrides}});
		const transaction = open();
		t.match(await transaction.begin(), {kind: 'done', ended: false});
		t.match(await transaction.hold('left'), {kind: 'done'});
		await end(transaction);
		t.equal(await transaction.next(), undefined, 'nothing follows');
		t.match(toOutcome(await owner.execute(hold('next'), group.timers.nowMs() + 5000)), {kind: 'done'});
		t.same(await group.logged(0), ['next'], 'a single statement on the connection');
		const following = open();
		t.match(await following.begin(), {kind: 'done', ended: false});
		t.match(await following.hold('following'), {kind: 'done', code: ''});
		t.match(await following.commit(), {kind: 'done', ended: true});
		t.same(await group.logged(0), ['next', 'following']);
	});
}

// The caller's stream breaks when the step has just been handed to the endpoint (P3).
for (const [cutAt, expected] of [
	['begin', ['begin', 'rollback']],
	['execute', ['begin', 'execute', 'rollback']],
	['commit', ['begin', 'execute', 'commit']],
] as const) {
	test(`stream cut during ${cutAt}`, async t => {
		const group = new FakeGroup();
		const owner = await group.own(1, 10, {policy: {connectionCap: oneConnection}});
		const cut = new AbortController();
		const calls: string[] = [];
		group.answer = async (_memberId, call) => {
			const called = typeof call === 'string' ? call : 'execute';
			calls.push(called);
			if (called === cutAt) {
				cut.abort();
				await group.turn();
			}

			return completed(1, 10);
		};

		const transaction = new TestTransaction(steps => owner.transact(withCut(steps, cut.signal)));
		await Promise.allSettled([transaction.begin(), transaction.hold('left'), transaction.commit()]);
		t.same(calls, expected);
		t.match(await new TestTransaction(steps => owner.transact(steps)).begin(), {kind: 'done'}, 'the next user');
		t.equal(group.opened.length, 1, 'on the same connection');
	});
}

/** Steps that end with an error, as a broken stream does. */
async function * withCut(steps: AsyncIterable<TransactRequest>, signal: AbortSignal): AsyncIterable<TransactRequest> {
	for await (const step of steps) {
		signal.throwIfAborted();
		yield step;
	}

	signal.throwIfAborted();
}

// Guards against the reuse of a connection whose rollback the endpoint did not confirm (P3).
test('a rollback that is not confirmed closes the connection', async t => {
	const group = new FakeGroup();
	const owner = await group.own(1, 10, {policy: {connectionCap: oneConnection}});
	group.answer = async (_memberId, call) => call === 'rollback' ? lost : completed(1, 10);
	for (const opened of [1, 2]) {
		const transaction = new TestTransaction(steps => owner.transact(steps));
		await transaction.begin();
		await transaction.rollback();
		t.equal(group.opened.length, opened, 'each has a fresh connection');
	}
});

// Guards against "not run" for a commit that ran, and against a second run of it (P2, P3, P6).
test('a commit whose answer is lost resolves by its request key', async t => {
	const {group, open} = await start(t, {policy: {progressTimeoutMs: 400}});
	const first = open();
	await first.begin();
	await first.hold('a');
	await group.faults(0, {answerDelayMs: 60_000});
	t.match(await first.commit('key'), {kind: 'unknown', code: 'no-answer-in-time', ended: true});
	t.same(await group.logged(0), ['a']);
	await group.faults(0, {answerDelayMs: 0});
	const repeat = open();
	await repeat.begin();
	await repeat.hold('a');
	t.match(await repeat.commit('key'), {kind: 'done', repeated: true, ended: true});
	t.same(await group.logged(0), ['a']);
});

test('a commit in a term that is over does not run', async t => {
	const {group, open, owner} = await start(t);
	const transaction = open();
	await transaction.begin();
	await transaction.hold('a');
	await group.connector.fence('ledger', group.members[0]!, 2);
	t.match(await transaction.commit('key'), {kind: 'notRun', ended: true});
	t.same(await group.logged(0), []);
	await until(() => owner.state.primary === undefined);
	t.match(await open().begin(), {kind: 'notRun', code: 'no-primary', ended: true});
});
