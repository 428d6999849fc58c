import {ok} from 'neverthrow';
import {test} from 'tap';
import {FakeGroup} from '../fixtures/fake-group.js';
import {policy, seatOf, TestGroup} from '../fixtures/group.js';
import {pay, toOutcome, until} from '../fixtures/requests.js';

/** The endpoints accept more, so that the cap is kept by the proxies and not by them; all work overlaps. */
const overCap = {maxConnections: 200, slots: 200, serviceMs: {pay_deposit: 200}};
const cap = policy.connectionCap;
const many = Array.from({length: 30}, (_, index) => index);
// A payment takes 200 ms here and may be learned to be long; all of them must overlap all the same.
const wide = {admission: {slots: 40, longSlots: 39, queueLength: 200}};

type Owner = Awaited<ReturnType<TestGroup['own']>>;

const load = async (group: TestGroup, owner: Owner, name: string) => Promise.all(many.map(async index =>
	toOutcome(await owner.execute(pay(`${name}-${index}`, {timeoutMs: 4000}), group.timers.nowMs() + 4000))));

const untilOpen = async (group: TestGroup, connections: number) => until(async () => {
	const stats = await group.stats(0);
	return stats.connections >= connections;
});

// Guards against a replaced holder that pauses, resumes and holds its connections beside its successor's.
test('the cap holds while an owner is replaced that does not know it', async t => {
	const group = await TestGroup.start(t, overCap);
	const owners = await Promise.all([0, 1, 2].map(async rank => group.own({seat: seatOf(rank), hostId: `p${rank}`, policy: wide})));
	await Promise.all(owners.map(async (owner, rank) => load(group, owner, `before-${rank}`)));
	const successor = await group.own({seat: seatOf(0, 2), hostId: 'p3', policy: wide});
	const [replaced, ...others] = await Promise.all([...owners, successor].map(async (owner, index) => load(group, owner, `after-${index}`)));
	t.ok(replaced!.every(({kind}) => kind !== 'done'), 'the replaced owner gets nothing done');
	t.ok(others.flat().every(({kind}) => kind === 'done'), 'its successor and the other ranks do');
	for (const member of [0, 1, 2]) {
		const {maxConnectionsSeen} = await group.stats(member);
		t.ok(maxConnectionsSeen <= cap, `m${member}: ${maxConnectionsSeen} of ${cap}`);
	}
});

// Guards against a promotion for connections that went silent, and against opening more beside them.
test('silent connections are replaced within the cap and without a promotion', async t => {
	const group = await TestGroup.start(t, overCap);
	const silence = {...wide, progressTimeoutMs: 800};
	const owners = await Promise.all([0, 1, 2].map(async rank => group.own({
		seat: seatOf(rank), hostId: `p${rank}`, policy: silence, isActing: () => true,
	})));
	const before = Promise.all(owners.map(async (owner, rank) => load(group, owner, `before-${rank}`)));
	await untilOpen(group, 3 * 9);
	await group.faults(0, {silentConnections: 'all'});
	await before;
	for (const [rank, owner] of owners.entries()) {
		// Those that meet a connection that is silent end as unknown; then all work again.
		await until(async () => {
			const outcomes = await load(group, owner, `after-${rank}`);
			return outcomes.every(({kind}) => kind === 'done');
		});
		t.equal(owner.state.tracker.term, 1, 'no promotion');
	}

	const {maxConnectionsSeen} = await group.stats(0);
	t.ok(maxConnectionsSeen <= cap, `${maxConnectionsSeen} of ${cap}`);
	const record = await group.platform.get('groups', 'ledger');
	t.match(record._unsafeUnwrap().value, {term: 1, primary: 'm0'});
});

// Guards against a monitor that opens after its owner was stopped and keeps a connection nobody counts.
test('a monitor that opens after the stop is closed', async t => {
	const group = new FakeGroup();
	let open!: () => void;
	const opening = new Promise<void>(resolve => {
		open = resolve;
	});
	let closed = 0;
	const connector = {
		...group.connector,
		async monitor() {
			await opening;
			return ok({
				closed: new Promise<void>(() => {/* stays open */}),
				ping() {/* not answered */},
				close() {
					closed += 1;
				},
			});
		},
	};
	const owner = await group.own(1, 1, {connector});
	owner.stop();
	open();
	await group.turn();
	t.equal(closed, group.members.length);
});
