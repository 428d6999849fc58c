import {test} from 'tap';
import {completed, FakeGroup, lost} from '../fixtures/fake-group.js';
import {seatOf, TestGroup} from '../fixtures/group.js';
import {
	database, hold, type Outcome, read, tokens, toOutcome, until,
} from '../fixtures/requests.js';

const get = (id: string, token: string) => read('get_booking', [id], {token});
const tokenAt = (term: number, index: number) => tokens.encode({database, term, index});

// Guards against a session that misses its own write on the next read at another proxy (P1).
test('a session reads its own write at another owner while a replica is behind', async t => {
	const group = await TestGroup.start(t);
	const first = await group.own();
	const second = await group.own({seat: seatOf(1), hostId: 'p1'});
	await group.faults(1, {applyLagMs: 60_000});
	await group.faults(2, {applyLagMs: 60_000});
	let token = '';
	const served = new Set<string>();
	for (const id of ['a', 'b', 'c', 'd', 'e']) {
		const written = toOutcome(await first.execute(hold(id, {token}), group.timers.nowMs() + 5000));
		t.equal(written.kind, 'done');
		const seen = toOutcome(await second.execute(get(id, written.token), group.timers.nowMs() + 5000));
		t.match(seen, {kind: 'done', rows: [{bookingId: id}], servedBy: 'm0'}, `read after the write of ${id}`);
		token = seen.token;
	}

	await group.faults(1, {applyLagMs: 0});
	await until(async () => {
		const seen = toOutcome(await second.execute(get('e', token), group.timers.nowMs() + 5000));
		t.equal(seen.rows.length, 1);
		served.add(seen.servedBy);
		return served.has('m1');
	});
});

// Guards against rows that a failover removed, at a replica that has not followed the new primary yet (P1).
test('an entry that was never confirmed is not read after a promotion', async t => {
	const group = await TestGroup.start(t);
	const owner = await group.own({isActing: () => true});
	const run = async (request: Parameters<typeof owner.execute>[0]) => toOutcome(await owner.execute(request, group.timers.nowMs() + request.timeoutMs));
	const {token} = await run(hold('kept'));
	await group.faults(0, {cutFromGroup: true});
	t.match(await run(hold('orphan', {timeoutMs: 400})), {kind: 'unknown'});
	await until(() => owner.state.tracker.term > 1 && owner.state.primary?.member.memberId !== 'm0');
	await until(() => owner.state.instances.get('m0')?.monitor.health.status?.role === 'replica');
	await group.faults(1, {applyLagMs: 60_000});
	await group.faults(2, {applyLagMs: 60_000});
	const next = await run(hold('next', {token}));
	t.match(next, {kind: 'done', code: ''});
	t.ok(tokens.decode(next.token, database)._unsafeUnwrap().term > 1);
	for (const [name, held] of [['a token of the old term', token], ['a token of the new term', next.token], ['no token', '']] as const) {
		t.match(await run(get('orphan', held)), {kind: 'done', rows: {length: 0}}, `orphan, ${name}`);
		t.match(await run(get('kept', held)), {kind: 'done', rows: {length: 1}}, `kept, ${name}`);
	}

	t.equal(await group.runs(0, 'orphan'), 1, 'the old primary still has the orphan entry');
});

type ReadCase = {
	name: string; token: string; replica: [term: number, index: number, verifiedTerm?: number];
	answers?: Record<string, ReturnType<typeof completed>>; expected: Partial<Outcome>; calls: string[];
};

// The primary m0 is at (2, 10); replica m1 as the case says, m2 is far behind. What a choice or a release
// without its check would show is in `calls` and `expected` (P1).
const readCases: ReadCase[] = [
	{
		name: 'replica at the token', token: tokenAt(2, 10), replica: [2, 10], expected: {kind: 'done', servedBy: 'm1'}, calls: ['m1'],
	},
	{
		name: 'replica behind the token', token: tokenAt(2, 10), replica: [2, 9], expected: {kind: 'done', servedBy: 'm0'}, calls: ['m0'],
	},
	{
		name: 'replica with an orphan entry past the token', token: tokenAt(2, 9), replica: [2, 11, 1], expected: {kind: 'done', servedBy: 'm0'}, calls: ['m0'],
	},
	{
		name: 'token of the term before the promotion', token: tokenAt(1, 8), replica: [2, 10], expected: {kind: 'done', servedBy: 'm1'}, calls: ['m1'],
	},
	{
		name: 'token of a term that this owner has not learnt', token: tokenAt(3, 10), replica: [2, 10], expected: {kind: 'unknown', code: 'confirmation-timeout'}, calls: ['m0'],
	},
	{
		name: 'token past the end of the log', token: tokenAt(2, 99), replica: [2, 10], expected: {kind: 'unknown', code: 'session-token-ahead'}, calls: ['m0'],
	},
	{
		name: 'replica whose answer is older than its status', token: tokenAt(2, 10), replica: [2, 10], answers: {m1: completed(2, 9)}, expected: {kind: 'done', servedBy: 'm0'}, calls: ['m1', 'm0'],
	},
	{
		name: 'replica that answers from an old term', token: tokenAt(2, 8), replica: [2, 10], answers: {m1: completed(1, 10)}, expected: {kind: 'done', servedBy: 'm0'}, calls: ['m1', 'm0'],
	},
	{
		name: 'forged token', token: `${tokenAt(2, 9).slice(0, -22)}${'A'.repeat(22)}`, replica: [2, 10], expected: {kind: 'notRun', code: 'forged-session-token'}, calls: [],
	},
];

for (const {name, token, replica, answers, expected, calls} of readCases) {
	test(`read: ${name}`, async t => {
		const group = new FakeGroup();
		const called: string[] = [];
		group.answer = async memberId => {
			called.push(memberId);
			return answers?.[memberId] ?? completed(2, 10);
		};

		const owner = await group.own(2, 10);
		group.report('m1', replica[0], replica[1], {verifiedTerm: replica[2]});
		group.report('m2', 2, 1, {verifiedTerm: 1});
		const answer = owner.execute(get('a', token), group.timers.nowMs() + 1000);
		// Under the deadline and under the wait for a replica that is about to catch up.
		await group.timers.advanceAsync(100, 5);
		const outcome = toOutcome(await answer);
		t.match(outcome, expected);
		t.same(called, calls);
		if (outcome.kind === 'done') {
			const held = tokens.decode(token, database)._unsafeUnwrap();
			const next = tokens.decode(outcome.token, database)._unsafeUnwrap();
			t.ok(next.term > held.term || (next.term === held.term && next.index >= held.index), 'the session does not go back');
		}
	});
}

// Guards against "not run" for a read that may have run (P5).
for (const [name, refuse] of Object.entries({
	'no connection'(group: FakeGroup) {
		for (const memberId of ['m0', 'm1', 'm2']) {
			group.refusing.add(memberId);
		}
	},
	'a refusal by the next instance'(group: FakeGroup) {
		group.answer = async () => ({kind: 'refused', code: 'unknown-statement', message: 'No such statement.'});
	},
})) {
	test(`a lost read that then meets ${name} is unknown`, async t => {
		const group = new FakeGroup();
		const owner = await group.own(2, 10);
		group.answer = async () => {
			refuse(group);
			return lost;
		};

		const answer = owner.execute(get('a', ''), group.timers.nowMs() + 1000);
		await group.timers.advanceAsync(200, 5);
		t.match(toOutcome(await answer), {kind: 'unknown', code: 'connection-lost'});
	});
}
