import {setTimeout as sleep} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {test} from 'tap';
import {FakeGroup} from '../fixtures/fake-group.js';
import {policy, createSeat, TestGroup} from '../fixtures/group.js';
import {payRequest, toOutcome, waitUntil} from '../fixtures/requests.js';

/** The endpoints accept more connections than the cap, so that only the proxies enforce it; all requests overlap. */
const endpointsOverCap = {maxConnections: 200, slots: 200, serviceMs: {pay_deposit: 200}};
const cap = policy.connectionCap;
const paymentIndexes = Array.from({length: 30}, (_, index) => index);
// A payment takes 200 ms here and may be classified as long work; all must still overlap.
const widePolicy = {admission: {slots: 40, longSlots: 39, queueLength: 200}};

type Owner = Awaited<ReturnType<TestGroup['startOwner']>>;

/** The time allowed for a payment is no promise that these tests check; it must not run out on a machine with a quarter of a core for them. */
const paymentTimeoutMs = 20_000;

const payInParallel = async (group: TestGroup, owner: Owner, name: string, timeoutMs = paymentTimeoutMs) => Promise.all(paymentIndexes.map(async index =>
	toOutcome(await owner.execute(payRequest(`${name}-${index}`, {timeoutMs}), group.timers.nowMs() + timeoutMs))));

/** Repeats each payment that was refused as not run, as callers do: on a starved machine a connection may take longer to open than its time-out. */
const payUntilRun = async (group: TestGroup, owner: Owner, name: string) => Promise.all(paymentIndexes.map(async index => {
	for (;;) {
		const outcome = toOutcome(await owner.execute(payRequest(`${name}-${index}`, {timeoutMs: paymentTimeoutMs}), group.timers.nowMs() + paymentTimeoutMs));
		if (outcome.kind !== 'notRun') {
			return outcome;
		}

		await sleep(outcome.retryAfterMs);
	}
}));

/**
 * Pays until the owners have opened this many connections to the primary. One round may not be enough: owners open
 * connections as payments wait, and on a starved machine fewer payments overlap.
 */
async function openConnections(group: TestGroup, owners: readonly Owner[], connections: number, timeoutMs: number): Promise<void> {
	for (let round = 0; (await group.readStats(0)).connections < connections; round += 1) {
		await Promise.all(owners.map(async (owner, rank) => payInParallel(group, owner, `open-${round}-${rank}`, timeoutMs)));
	}
}

// A replaced seat holder that was paused could resume and keep its connections in addition to those of its successor.
test('the connection cap is kept when a replaced owner does not know that it was replaced', async t => {
	const group = await TestGroup.start(t, endpointsOverCap);
	const owners = await Promise.all([0, 1, 2].map(async rank => group.startOwner({seat: createSeat(rank), hostId: `p${rank}`, policy: widePolicy})));
	await Promise.all(owners.map(async (owner, rank) => payInParallel(group, owner, `before-${rank}`)));
	const successor = await group.startOwner({seat: createSeat(0, 2), hostId: 'p3', policy: widePolicy});
	const [replaced, ...others] = await Promise.all([...owners, successor].map(async (owner, index) =>
		index === 0 ? payInParallel(group, owner, 'after-0') : payUntilRun(group, owner, `after-${index}`)));
	t.ok(replaced!.every(({kind}) => kind !== 'done'), 'the replaced owner completes no request');
	t.same(others.flat().filter(({kind}) => kind !== 'done').map(({kind, code}) => `${kind} ${code}`), [], 'its successor and the other ranks complete all');
	const runs = await Promise.all([1, 2, 3].flatMap(owner => paymentIndexes.map(async index => group.countRuns(0, `after-${owner}-${index}`))));
	t.ok(runs.every(count => count === 1), 'each payment ran once');
	for (const member of [0, 1, 2]) {
		const {maxConnectionsSeen} = await group.readStats(member);
		t.ok(maxConnectionsSeen <= cap, `m${member}: ${maxConnectionsSeen} of ${cap}`);
	}
});

// Connections that stop responding must not cause a promotion, and their replacements must not exceed the cap.
test('unresponsive connections are replaced within the cap and without a promotion', async t => {
	const group = await TestGroup.start(t, endpointsOverCap);
	// Far longer than a payment takes on a starved machine, whose working connections would otherwise count as unresponsive.
	const silencePolicy = {...widePolicy, progressTimeoutMs: 10_000};
	const silentPaymentTimeoutMs = 6000;
	const owners = await Promise.all([0, 1, 2].map(async rank => group.startOwner({
		seat: createSeat(rank), hostId: `p${rank}`, policy: silencePolicy, isActing: () => true,
	})));
	await openConnections(group, owners, 3 * 9, silentPaymentTimeoutMs);
	const before = Promise.all(owners.map(async (owner, rank) => payInParallel(group, owner, `before-${rank}`, silentPaymentTimeoutMs)));
	await waitUntil(async () => {
		const {busySlots} = await group.readStats(0);
		return busySlots > 0;
	});
	await group.setFaults(0, {silentConnections: 'all'});
	await before;
	for (const [rank, owner] of owners.entries()) {
		// Requests on a silent connection end as unknown; after that, all requests succeed again.
		await waitUntil(async () => {
			const outcomes = await payInParallel(group, owner, `after-${rank}`, silentPaymentTimeoutMs);
			return outcomes.every(({kind}) => kind === 'done');
		});
		t.equal(owner.state.tracker.term, 1, 'no promotion');
	}

	const {maxConnectionsSeen} = await group.readStats(0);
	t.ok(maxConnectionsSeen <= cap, `${maxConnectionsSeen} of ${cap}`);
	const record = await group.platform.get('groups', 'ledger');
	t.match(record._unsafeUnwrap().value, {term: 1, primary: 'm0'});
});

// A monitor that finishes opening after its owner was stopped must not leave an untracked connection open.
test('a monitor that opens after the owner was stopped is closed', async t => {
	const group = new FakeGroup();
	let allowOpening!: () => void;
	const openingAllowed = new Promise<void>(resolve => {
		allowOpening = resolve;
	});
	let closedCount = 0;
	const connector = {
		...group.connector,
		async monitor() {
			await openingAllowed;
			return ok({
				closed: new Promise<void>(() => {/* stays open */}),
				ping() {/* not answered */},
				close() {
					closedCount += 1;
				},
			});
		},
	};
	const owner = await group.startOwner(1, 1, {connector});
	owner.stop();
	allowOpening();
	await group.flushPromises();
	t.equal(closedCount, group.members.length);
});
