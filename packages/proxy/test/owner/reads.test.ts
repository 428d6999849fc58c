import {comparePositions} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {type EndpointReply} from '../../src/endpoint/index.js';
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

type ReadCase = [name: string, token: string, replica: [term: number, index: number, verifiedTerm?: number], expected: Partial<Outcome>, calls: string[], answerOfM1?: EndpointReply];

// The primary m0 is at (2, 10), replica m1 as the case says, m2 is far behind. What a choice or a release without its check would show is in the calls and the outcome (P1).
const readCases: ReadCase[] = [
	['replica at the token', tokenAt(2, 10), [2, 10], {kind: 'done', servedBy: 'm1'}, ['m1']],
	['replica behind the token', tokenAt(2, 10), [2, 9], {kind: 'done', servedBy: 'm0'}, ['m0']],
	['replica with an orphan entry past the token', tokenAt(2, 9), [2, 11, 1], {kind: 'done', servedBy: 'm0'}, ['m0']],
	['token of the term before the promotion', tokenAt(1, 8), [2, 10], {kind: 'done', servedBy: 'm1'}, ['m1']],
	['token of a term that this owner has not learnt', tokenAt(3, 10), [2, 10], {kind: 'unknown', code: 'confirmation-timeout'}, ['m0']],
	['token past the end of the log', tokenAt(2, 99), [2, 10], {kind: 'unknown', code: 'session-token-ahead'}, ['m0']],
	['replica whose answer is older than its status', tokenAt(2, 10), [2, 10], {kind: 'done', servedBy: 'm0'}, ['m1', 'm0'], completed(2, 9)],
	['replica that answers from an old term', tokenAt(2, 8), [2, 10], {kind: 'done', servedBy: 'm0'}, ['m1', 'm0'], completed(1, 10)],
	['forged token', `${tokenAt(2, 9).slice(0, -22)}${'A'.repeat(22)}`, [2, 10], {kind: 'notRun', code: 'forged-session-token'}, []],
];

for (const [name, token, [term, index, verifiedTerm], expected, calls, answerOfM1 = completed(2, 10)] of readCases) {
	test(`read: ${name}`, async t => {
		const group = new FakeGroup();
		const called: string[] = [];
		group.answer = async memberId => {
			called.push(memberId);
			return memberId === 'm1' ? answerOfM1 : completed(2, 10);
		};

		const owner = await group.own(2, 10);
		group.report('m1', term, index, {verifiedTerm});
		group.report('m2', 2, 1, {verifiedTerm: 1});
		const answer = owner.execute(get('a', token), group.timers.nowMs() + 1000);
		// Under the deadline and over the wait for a replica that is about to catch up.
		await group.timers.advanceAsync(100, 5);
		const outcome = toOutcome(await answer);
		t.match(outcome, expected);
		t.same(called, calls);
		if (outcome.kind === 'done') {
			const [held, next] = [token, outcome.token].map(text => tokens.decode(text, database)._unsafeUnwrap());
			t.ok(comparePositions(next!, held!) >= 0, 'the session does not go back');
		}
	});
}

// Guards against "not run" for a read that may have run (P5).
const refusals: Record<string, (group: FakeGroup) => void> = {
	'no connection': group => group.members.map(({memberId}) => group.refusing.add(memberId)),
	'a refusal by the next instance'(group) {
		group.answer = async () => ({kind: 'refused', code: 'unknown-statement', message: 'No such statement.'});
	},
};

for (const [name, refuse] of Object.entries(refusals)) {
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
