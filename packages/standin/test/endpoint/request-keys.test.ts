import {test} from 'tap';
import {
	lead, startGroup, type TestInstance, untilEqualLogs,
} from './fixtures/group.js';

const hourMs = 3_600_000;

const keyIssued = (key: string, hoursAgo = 0) => ({key, issuedUnixMs: BigInt(Math.round(Date.now() - (hoursAgo * hourMs)))});

const payment = (paymentId = 'p1') => ({name: 'pay_deposit', parameters: [paymentId, 'b1', 1500], term: 1});

const paymentCount = async (instance: TestInstance) => {
	const {payments} = await instance.control<{payments: unknown[]}>('/rows');
	return payments.length;
};

type Key = ReturnType<typeof keyIssued>;

/** Name; key and payment of the request after one of k1 and p1; what is expected of it; payments after both. */
const keyCases: Array<[name: string, key: Key, paymentId: string, expected: Record<string, unknown>, payments: number]> = [
	['a repeat gets the first answer', keyIssued('k1'), 'p1', {completed: {repeated: true, position: {index: 2n}}}, 1],
	['another key runs again', keyIssued('k2'), 'p1', {completed: {repeated: false, position: {index: 3n}}}, 2],
	['another statement is refused', keyIssued('k1'), 'p2', {refused: {code: 'request-key-reused'}}, 1],
	['an old key is refused although its record is kept', keyIssued('k1', 23.1), 'p1', {refused: {code: 'request-key-expired'}}, 1],
	['a key just below the limit runs', keyIssued('k2', 22.9), 'p2', {completed: {repeated: false}}, 2],
];

// Guards against a payment that runs twice, or once under the key of another one (P6).
test('a request key runs one statement once', async t => {
	for (const [name, key, paymentId, expected, payments] of keyCases) {
		const [m0] = await startGroup(t, 1);
		const session = await m0!.session();
		const {rows} = await session.execute({...payment(), key: keyIssued('k1')});
		const outcome = await session.execute({...payment(paymentId), key});
		t.match(outcome, expected, name);
		t.strictSame(outcome.completed?.repeated ? outcome.rows : rows, rows, `${name}: rows`);
		t.equal(await paymentCount(m0!), payments, `${name}: payments`);
	}
});

// Guards against two proxies that run the same payment at the same time (P6).
test('concurrent executions of a key run once', async t => {
	const [m0] = await startGroup(t, 1, {serviceMs: {pay_deposit: 30}});
	const sessions = await Promise.all([1, 2, 3].map(async index => m0!.session({index})));
	const key = keyIssued('k1');
	const outcomes = await Promise.all(sessions.map(async session => session.execute({...payment(), key})));
	t.strictSame(outcomes.map(({completed}) => completed?.repeated).filter(Boolean), [true, true]);
	t.strictSame(new Set(outcomes.map(({completed}) => completed?.position?.index)), new Set([2n]));
	t.equal(await paymentCount(m0!), 1);
});

// Guards against a repeat that runs again after the primary was replaced (P6).
test('keys survive a promotion', async t => {
	const [m0, m1] = await startGroup(t, 2);
	const key = keyIssued('k1');
	const session = await m0!.session();
	await session.execute({...payment(), key});
	await untilEqualLogs(m0!, m1!);
	await lead(m1!, [m0!], 2);
	const next = await m1!.session();
	const {completed, rows} = await next.execute({...payment(), term: 2, key});
	t.match(completed, {repeated: true, position: {term: 1n, index: 2n}, verifiedTerm: 2n});
	t.equal(rows.length, 1);
	t.equal(await paymentCount(m1!), 1);
});

// Guards against a key whose entry was dropped with the old primary's log and that is then taken as done (P2, P6).
test('a key of a truncated entry runs again', async t => {
	const [m0, m1] = await startGroup(t, 2);
	const key = keyIssued('k1');
	await untilEqualLogs(m0!, m1!);
	await m0!.faults({cutFromGroup: true});
	const session = await m0!.session();
	await session.execute({...payment(), key});
	await lead(m1!, [], 2);
	await m0!.faults({cutFromGroup: false});
	await m0!.follow(2, m1!);
	await untilEqualLogs(m0!, m1!);
	await lead(m0!, [m1!], 3);
	const {completed} = await session.execute({...payment(), term: 3, key});
	t.match(completed, {repeated: false, position: {term: 3n}});
	t.equal(await paymentCount(m0!), 1);
});

// Guards against a late duplicate that takes effect after its caller was told of an error (P6).
test('an error of a statement is recorded too', async t => {
	const [m0] = await startGroup(t, 1);
	const session = await m0!.session();
	const key = keyIssued('k1');
	const request = {
		name: 'hold_lane', parameters: ['b2', 'a1', '09:00', 'brian'], term: 1, key,
	};
	await session.write(1, 'hold_lane', 'b1', 'a1', '09:00', 'amina');
	const first = await session.execute(request);
	await session.write(1, 'cancel_booking', 'b1');
	const second = await session.execute(request);
	t.match([first.completed, second.completed], [
		{repeated: false, statementError: {code: 'lane-taken'}}, {repeated: true, statementError: {code: 'lane-taken'}},
	]);
});
