import {test} from 'tap';
import {startGroup} from './fixtures/group.js';

const board = ['hold_lane', 'b1', 'a1', '09:00', 'amina'] as const;

// Guards against transactions that see or overwrite each other's changes (P3).
test('changes of a transaction show to others at its commit, as one entry', async t => {
	const [m0] = await startGroup(t, 1);
	const [session, other] = [await m0!.session(), await m0!.session({index: 1})];
	await session.begin(1);
	await session.write(1, ...board);
	await session.write(1, 'pay_deposit', 'p1', 'b1', 100);
	const own = await session.read('get_booking', 'b1');
	const before = await other.read('get_booking', 'b1');
	const {completed} = await session.commit();
	const after = await other.read('get_booking', 'b1');
	t.strictSame([own, before, after].map(({rows}) => rows.length), [1, 0, 1]);
	t.match(completed?.position, {term: 1n, index: 2n});
	const log = await m0!.log();
	t.equal(log[1]?.changes.length, 2);
});

type StatementCall = [name: string, ...parameters: unknown[]];

const setups: StatementCall[] = [
	['hold_lane', 'b0', 'a0', '09:00', 'c'], ['hold_lane', 'bx', 'a9', '09:00', 'c'], ['pay_deposit', 'p0', 'bx', 100], ['cancel_booking', 'bx'],
];

const conflictCases: Array<[name: string, mine: StatementCall, theirs: StatementCall, conflicts: boolean]> = [
	['same row', ['amend_booking', 'b0', 'mine'], ['amend_booking', 'b0', 'theirs'], true],
	['same lane and slot', ['hold_lane', 'b1', 'a1', '10:00', 'c'], ['hold_lane', 'b2', 'a1', '10:00', 'd'], true],
	['same refund', ['refund_run', 'r1'], ['refund_run', 'r2'], true],
	['other rows', ['amend_booking', 'b0', 'mine'], ['hold_lane', 'b2', 'a1', '10:00', 'd'], false],
];

// Guards against lost updates, a lane held twice and a refund paid twice (P3, P6).
test('the first committer wins', async t => {
	for (const [name, mine, theirs, conflicts] of conflictCases) {
		const [m0] = await startGroup(t, 1, {serviceMs: {refund_run: 1}});
		const [session, other] = [await m0!.session(), await m0!.session({index: 1})];
		for (const setup of setups) {
			await session.write(1, ...setup);
		}

		await session.begin(1);
		await session.write(1, ...mine);
		await other.write(1, ...theirs);
		const {completed} = await session.commit();
		t.equal(completed?.statementError?.code, conflicts ? 'serialization-failure' : undefined, name);
		const log = await m0!.log();
		t.equal(log.length, conflicts ? 6 : 7, `${name}: entries`);
	}
});

// Guards against a payment that is committed twice by a repeated commit, and against work left by a closed connection (P3, P6).
test('a commit is repeated by its key, and a closed connection rolls back', async t => {
	const [m0] = await startGroup(t, 1);
	const key = {key: 'k1', issuedUnixMs: BigInt(Date.now())};
	const session = await m0!.session();
	const outcomes = [];
	for (const _ of [1, 2]) {
		await session.begin(1);
		await session.write(1, 'pay_deposit', 'p1', 'b1', 100);
		outcomes.push(await session.commit(key));
	}

	t.match(outcomes, [{completed: {repeated: false, position: {index: 2n}}}, {completed: {repeated: true, position: {index: 2n}}}]);
	const dying = await m0!.session({index: 1});
	for (const open of [session, dying]) {
		await open.begin(1);
		await open.write(1, ...board);
	}

	session.end();
	dying.cut();
	await m0!.untilStats(({connections}) => connections === 0);
	const next = await m0!.session();
	const {refused} = await next.commit();
	t.equal(refused?.code, 'no-transaction');
	const log = await m0!.log();
	t.equal(log.length, 2);
});
