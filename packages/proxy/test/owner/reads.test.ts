import {comparePositions} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {type EndpointReply} from '../../src/endpoint/index.js';
import {completedReply, FakeGroup, lostReply} from '../fixtures/fake-group.js';
import {createSeat, TestGroup} from '../fixtures/group.js';
import {
	database, holdRequest, type Outcome, readRequest, tokens, toOutcome, waitUntil,
} from '../fixtures/requests.js';

const getBookingRequest = (id: string, token: string) => readRequest('get_booking', [id], {token});
const encodeToken = (term: number, index: number) => tokens.encode({database, term, index});

// A session must see its own write when its next read goes through another proxy (P1).
test('a session reads its own write at another owner while a replica is behind', async t => {
	const group = await TestGroup.start(t);
	const first = await group.startOwner();
	const second = await group.startOwner({seat: createSeat(1), hostId: 'p1'});
	await group.setFaults(1, {applyLagMs: 60_000});
	await group.setFaults(2, {applyLagMs: 60_000});
	let token = '';
	const servingMembers = new Set<string>();
	for (const id of ['a', 'b', 'c', 'd', 'e']) {
		const writeOutcome = toOutcome(await first.execute(holdRequest(id, {token}), group.timers.nowMs() + 5000));
		t.equal(writeOutcome.kind, 'done');
		const readOutcome = toOutcome(await second.execute(getBookingRequest(id, writeOutcome.token), group.timers.nowMs() + 5000));
		t.match(readOutcome, {kind: 'done', rows: [{bookingId: id}], servedBy: 'm0'}, `read after the write of ${id}`);
		token = readOutcome.token;
	}

	await group.setFaults(1, {applyLagMs: 0});
	await waitUntil(async () => {
		const readOutcome = toOutcome(await second.execute(getBookingRequest('e', token), group.timers.nowMs() + 5000));
		t.equal(readOutcome.rows.length, 1);
		servingMembers.add(readOutcome.servedBy);
		return servingMembers.has('m1');
	});
});

// A replica that does not follow the new primary yet must not return rows that a failover removed (P1).
test('an unconfirmed log entry is not read after a promotion', async t => {
	const group = await TestGroup.start(t);
	const owner = await group.startOwner({isActing: () => true});
	const run = async (request: Parameters<typeof owner.execute>[0]) => toOutcome(await owner.execute(request, group.timers.nowMs() + request.timeoutMs));
	const {token} = await run(holdRequest('kept'));
	await group.setFaults(0, {cutFromGroup: true});
	t.match(await run(holdRequest('orphan', {timeoutMs: 400})), {kind: 'unknown'});
	await waitUntil(() => owner.state.tracker.term > 1 && owner.state.primary?.member.memberId !== 'm0');
	await waitUntil(() => owner.state.instances.get('m0')?.monitor.health.status?.role === 'replica');
	await group.setFaults(1, {applyLagMs: 60_000});
	await group.setFaults(2, {applyLagMs: 60_000});
	const next = await run(holdRequest('next', {token}));
	t.match(next, {kind: 'done', code: ''});
	t.ok(tokens.decode(next.token, database)._unsafeUnwrap().term > 1);
	for (const [name, sessionToken] of [['a token of the old term', token], ['a token of the new term', next.token], ['no token', '']] as const) {
		t.match(await run(getBookingRequest('orphan', sessionToken)), {kind: 'done', rows: {length: 0}}, `orphan, ${name}`);
		t.match(await run(getBookingRequest('kept', sessionToken)), {kind: 'done', rows: {length: 1}}, `kept, ${name}`);
	}

	t.equal(await group.countRuns(0, 'orphan'), 1, 'the old primary still has the orphaned entry');
});

type ReadCase = [name: string, token: string, replica: [term: number, index: number, verifiedTerm?: number], expected: Partial<Outcome>, calls: string[], replyOfM1?: EndpointReply];

// The primary m0 is at (2, 10), replica m1 at the position of the case, and m2 far behind. The calls show which
// instances were chosen; the outcome shows whether the response was checked against the token (P1).
const readCases: ReadCase[] = [
	['replica at the token', encodeToken(2, 10), [2, 10], {kind: 'done', servedBy: 'm1'}, ['m1']],
	['replica behind the token', encodeToken(2, 10), [2, 9], {kind: 'done', servedBy: 'm0'}, ['m0']],
	['replica with an orphaned entry past the token', encodeToken(2, 9), [2, 11, 1], {kind: 'done', servedBy: 'm0'}, ['m0']],
	['token of the term before the promotion', encodeToken(1, 8), [2, 10], {kind: 'done', servedBy: 'm1'}, ['m1']],
	['token of a term that this owner has not learned', encodeToken(3, 10), [2, 10], {kind: 'unknown', code: 'confirmation-timeout'}, ['m0']],
	['token past the end of the log', encodeToken(2, 99), [2, 10], {kind: 'unknown', code: 'session-token-ahead'}, ['m0']],
	['replica whose reply is older than its status', encodeToken(2, 10), [2, 10], {kind: 'done', servedBy: 'm0'}, ['m1', 'm0'], completedReply(2, 9)],
	['replica that replies from an old term', encodeToken(2, 8), [2, 10], {kind: 'done', servedBy: 'm0'}, ['m1', 'm0'], completedReply(1, 10)],
	['forged token', `${encodeToken(2, 9).slice(0, -22)}${'A'.repeat(22)}`, [2, 10], {kind: 'notRun', code: 'forged-session-token'}, []],
];

for (const [name, token, [term, index, verifiedTerm], expected, calls, replyOfM1 = completedReply(2, 10)] of readCases) {
	test(`read: ${name}`, async t => {
		const group = new FakeGroup();
		const called: string[] = [];
		group.respond = async memberId => {
			called.push(memberId);
			return memberId === 'm1' ? replyOfM1 : completedReply(2, 10);
		};

		const owner = await group.startOwner(2, 10);
		group.reportStatus('m1', term, index, {verifiedTerm});
		group.reportStatus('m2', 2, 1, {verifiedTerm: 1});
		const response = owner.execute(getBookingRequest('a', token), group.timers.nowMs() + 1000);
		// Shorter than the deadline, longer than the wait for a replica that has nearly caught up.
		await group.timers.advanceAsync(100, 5);
		const outcome = toOutcome(await response);
		t.match(outcome, expected);
		t.same(called, calls);
		if (outcome.kind === 'done') {
			const [tokenBefore, tokenAfter] = [token, outcome.token].map(text => tokens.decode(text, database)._unsafeUnwrap());
			t.ok(comparePositions(tokenAfter!, tokenBefore!) >= 0, 'the session does not move backwards');
		}
	});
}

// A read that may have run must not be reported as "not run" after its retry is refused (P5).
const retryFailures: Record<string, (group: FakeGroup) => void> = {
	'no connection': group => group.members.map(({memberId}) => group.unreachableMembers.add(memberId)),
	'a refusal by the next instance'(group) {
		group.respond = async () => ({kind: 'refused', code: 'unknown-statement', message: 'No such statement.'});
	},
};

for (const [name, refuse] of Object.entries(retryFailures)) {
	test(`a lost read whose retry ends with ${name} is unknown`, async t => {
		const group = new FakeGroup();
		const owner = await group.startOwner(2, 10);
		group.respond = async () => {
			refuse(group);
			return lostReply;
		};

		const response = owner.execute(getBookingRequest('a', ''), group.timers.nowMs() + 1000);
		await group.timers.advanceAsync(200, 5);
		t.match(toOutcome(await response), {kind: 'unknown', code: 'connection-lost'});
	});
}
