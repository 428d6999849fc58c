import {test} from 'tap';
import {
	lead, startGroup, type TestInstance, untilEqualLogs,
} from './fixtures/group.js';

const hold = async (instance: TestInstance, term: number, bookingId: string) => {
	const session = await instance.session({index: 9});
	const outcome = await session.write(term, 'hold_lane', bookingId, bookingId, '09:00', 'amina');
	session.end();
	return outcome;
};

/** Name; how m0 (primary of term 1) and m1 (its replica) get into the state under test; term of the write to m0; code of its refusal. */
type TermCase = [name: string, given: (m0: TestInstance, m1: TestInstance) => Promise<unknown>, term: number, code: string | undefined];

const termCases: TermCase[] = [
	['write in the term of the primary', async () => undefined, 1, undefined],
	['write of an older term', async m0 => m0.promote(2), 1, 'stale-term'],
	['write of a newer term', async () => undefined, 2, 'not-primary'],
	['write to a fenced primary', async m0 => m0.fence(2), 1, 'stale-term'],
	['write in the term of the fence', async m0 => m0.fence(2), 2, 'not-primary'],
	['write to a former primary', async (m0, m1) => lead(m1, [m0], 2), 2, 'not-primary'],
	['write after a late fence', async m0 => [await m0.promote(3), await m0.fence(2)], 3, undefined],
	['write after a late promotion', async m0 => [await m0.fence(3), await m0.promote(2)], 2, 'stale-term'],
];

// Guards against a replaced primary that acknowledges a write, and against a refused write that ran (P2, P5).
test('a write runs only at the primary of its term', async t => {
	for (const [name, given, term, code] of termCases) {
		const [m0, m1] = await startGroup(t, 2);
		await given(m0!, m1!);
		const {refused, completed} = await hold(m0!, term, 'b1');
		const log = await m0!.log();
		t.match({code: refused?.code, done: completed !== undefined}, {code, done: code === undefined}, name);
		t.equal(log.filter(({kind}) => kind === 'commit').length, code === undefined ? 1 : 0, `${name}: entries`);
	}
});

// Guards against a commit by a primary that was fenced while the statement ran (P2).
test('a fence during a statement or a transaction rolls it back', async t => {
	const [m0] = await startGroup(t, 1, {serviceMs: {hold_lane: 300}});
	const session = await m0!.session();
	const writing = hold(m0!, 1, 'b1');
	await m0!.untilStats(({busySlots}) => busySlots === 1);
	await session.begin(1);
	await session.write(1, 'pay_deposit', 'p1', 'b1', 100);
	await m0!.fence(2);
	const outcomes = [await writing, await session.commit()];
	t.strictSame(outcomes.map(({refused}) => refused?.code), ['stale-term', 'stale-term']);
	const log = await m0!.log();
	t.equal(log.length, 1);
});

// Guards against two primaries of one term and against replicas that follow the wrong one (P2).
test('a term has one primary', async t => {
	const [m0, m1, m2] = await startGroup(t, 3);
	const answers = [
		await m0!.promote(1),
		await m1!.promote(1),
		await m0!.follow(1, m1!),
		await m2!.follow(1, m1!),
		await m2!.follow(1, m0!),
		// A follower is no candidate, even before it has an entry of the term.
		await m2!.follow(2, m1!),
		await m2!.promote(2),
	];
	t.strictSame(answers.map(({accepted}) => accepted), [true, false, false, false, true, true, false]);
});

// Guards against a candidate that loses its log after it was chosen and makes the others drop theirs (P2).
test('an instance without a log becomes primary of the first term only', async t => {
	const [m0, m1] = await startGroup(t, 2, {replicationDelayMs: 60_000});
	const answers = [await m1!.promote(2), await m0!.promote(2)];
	t.strictSame(answers.map(({accepted}) => accepted), [false, true]);
});

// Guards against unacknowledged entries of an old primary that survive next to those of the new one (P2).
test('a former primary drops the entries that the new one does not have', async t => {
	const [m0, m1, m2] = await startGroup(t, 3);
	await hold(m0!, 1, 'b1');
	await untilEqualLogs(m0!, m1!, m2!);
	await m0!.faults({cutFromGroup: true});
	await hold(m0!, 1, 'lost-1');
	await hold(m0!, 1, 'lost-2');
	await Promise.all([m1!.fence(2), m2!.fence(2)]);
	await lead(m1!, [m2!], 2);
	await hold(m1!, 2, 'b2');
	await m0!.faults({cutFromGroup: false});
	await m0!.follow(2, m1!);
	const log = await untilEqualLogs(m0!, m1!, m2!);
	t.strictSame(log.map(({term, index, kind}) => `${term}/${index} ${kind}`), ['1/1 term-start', '1/2 commit', '2/3 term-start', '2/4 commit']);
	const rows = await Promise.all([m0!, m1!].map(async instance => instance.control('/rows')));
	t.strictSame(rows[0], rows[1]);
	const {received, verifiedTerm} = await m0!.stats();
	t.strictSame({received, verifiedTerm}, {received: {term: 2, index: 4}, verifiedTerm: 2});
});

// Guards against a fenced replica that still takes entries of the old term, which would break the confirmation by majority (P2).
test('a fenced replica takes no entries of the old term', async t => {
	const [m0, m1, m2] = await startGroup(t, 3);
	await untilEqualLogs(m0!, m1!, m2!);
	await m1!.faults({replicationDelayMs: 60_000});
	await hold(m0!, 1, 'b1');
	await untilEqualLogs(m0!, m2!);
	await m1!.fence(2);
	await m1!.faults({replicationDelayMs: 0});
	await hold(m0!, 1, 'b2');
	await untilEqualLogs(m0!, m2!);
	const {received, verifiedTerm, fencedTerm} = await m1!.stats();
	t.strictSame({received, verifiedTerm, fencedTerm}, {received: {term: 1, index: 1}, verifiedTerm: 1, fencedTerm: 2});
});

// Guards against a promoted replica that lags and would answer reads or writes from old rows (P1).
test('a promotion applies what was received', async t => {
	const [m0, m1] = await startGroup(t, 2, {applyLagMs: 60_000});
	await hold(m0!, 1, 'b1');
	await untilEqualLogs(m0!, m1!);
	const session = await m1!.session();
	const before = await session.read('get_booking', 'b1');
	await m1!.promote(2);
	const after = await session.read('get_booking', 'b1');
	t.strictSame([before.rows.length, after.rows.length], [0, 1]);
	t.match(after.completed?.position, {term: 2n, index: 3n});
});
