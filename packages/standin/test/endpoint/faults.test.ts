import {test} from 'tap';
import {type FaultValues} from '../../src/index.js';
import {startGroup, type TestSession} from './fixtures/group.js';

const isSettledWithin = async (promise: Promise<unknown>, ms: number) => {
	const pending = Symbol('pending');
	const [first] = await Promise.allSettled([Promise.race([
		promise,
		new Promise<symbol>(resolve => {
			setTimeout(resolve, ms, pending);
		}),
	])]);
	return first.status === 'rejected' || first.value !== pending;
};

const setUp = async (session: TestSession) => {
	for (const bookingId of ['b1', 'b2', 'b3', 'b4']) {
		await session.write(1, 'hold_lane', bookingId, 'a1', bookingId, 'amina');
	}
};

// Guards against fault injection that does not reach the caller, which would make the proxies' tests of P4 empty.
test('answers are crossed, cut or late on request', async t => {
	const [m0] = await startGroup(t, 1);
	const session = await m0!.session();
	await setUp(session);
	await m0!.faults({crossAnswers: true});
	const crossed = await session.read('lane_board', 'a');
	t.ok(crossed.strayIds.length > 0 && crossed.rows.length === 4, 'another id comes first');
	await m0!.faults({crossAnswers: false, answerDelayMs: 80});
	const startedMs = performance.now();
	await session.read('lane_board', 'a');
	t.ok(performance.now() - startedMs >= 79, 'late');
	await m0!.faults({answerDelayMs: 0, dropMidRows: true});
	await t.rejects(session.read('lane_board', 'a'), {message: 'Connection lost'});
	await m0!.faults({dropMidRows: false});
	const next = await m0!.session();
	const {rows} = await next.read('lane_board', 'a');
	t.equal(rows.length, 4, 'a new connection works');
});

// Guards against silent connections that answer again or that take new ones down with them (design 5.6).
test('silent connections stay silent while new ones work', async t => {
	const [m0] = await startGroup(t, 1);
	const session = await m0!.session();
	const monitor = m0!.monitor();
	await monitor.status(() => true);
	await m0!.faults({silentConnections: 'all'});
	const reading = session.read('get_booking', 'b1');
	monitor.ping(1n);
	const pinging = monitor.status(({pingId}) => pingId === 1n);
	const fresh = await m0!.session({index: 1});
	const {completed} = await fresh.read('get_booking', 'b1');
	t.ok(completed);
	t.strictSame(await Promise.all([isSettledWithin(reading, 100), isSettledWithin(pinging, 0)]), [false, false]);
	await m0!.session({index: 0});
	await t.rejects(reading, {message: 'replaced'}, 'replaced by a connection of the same index');
});

// Guards against a paused instance that does work before it resumes (P2).
test('a frozen instance runs nothing until it resumes', async t => {
	const [m0] = await startGroup(t, 1);
	const session = await m0!.session();
	await m0!.faults({frozen: true});
	const writing = session.write(1, 'hold_lane', 'b1', 'a1', '09:00', 'amina');
	const fencing = m0!.fence(2);
	t.strictSame(await Promise.all([isSettledWithin(writing, 100), isSettledWithin(fencing, 0)]), [false, false]);
	const log = await m0!.log();
	t.equal(log.length, 1);
	await m0!.faults({frozen: false});
	t.ok(await writing);
	t.match(await fencing, {accepted: true});
});

// Guards against an instance that is called unreachable but still takes work.
test('refused connections fail at once', async t => {
	const [m0] = await startGroup(t, 1);
	const session = await m0!.session();
	await m0!.faults({refuseConnections: true});
	await t.rejects(m0!.session({index: 1}));
	await t.rejects(m0!.fence(2));
	const {completed} = await session.read('get_booking', 'b1');
	t.ok(completed, 'open connections work');
});

// Guards against replicas that lag by another amount than the tests of the proxies assume (P1).
test('replication delay and apply lag hold back what a replica shows', async t => {
	for (const fault of ['replicationDelayMs', 'applyLagMs'] satisfies Array<keyof FaultValues>) {
		const [m0, m1] = await startGroup(t, 2);
		const session = await m0!.session();
		const monitor = m1!.monitor();
		await monitor.status(({applied}) => applied?.index === 1n);
		await m1!.faults({[fault]: 60_000});
		await session.write(1, 'hold_lane', 'b1', 'a1', '09:00', 'amina');
		await (fault === 'applyLagMs' && monitor.status(({received}) => received?.index === 2n));
		const reader = await m1!.session();
		const {completed} = await reader.read('get_booking', 'b1');
		t.equal(completed?.position?.index, 1n, fault);
		await m1!.faults({[fault]: 0});
		t.ok(await monitor.status(({applied}) => applied?.index === 2n), `${fault}: caught up`);
	}
});

// Guards against a cut that also keeps callers away or that lets entries through (design 1.4).
test('an instance cut from its group still serves callers', async t => {
	const [m0, m1] = await startGroup(t, 2, {replicationTimeoutMs: 100});
	const session = await m0!.session();
	await m0!.faults({cutFromGroup: true});
	const {completed} = await session.write(1, 'hold_lane', 'b1', 'a1', '09:00', 'amina');
	t.match(completed, {position: {index: 2n}});
	await m1!.untilStats(({primaryContact}) => !primaryContact);
	const log = await m1!.log();
	t.equal(log.length, 1);
});
