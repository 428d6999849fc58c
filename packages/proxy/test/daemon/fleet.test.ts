import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'tap';
import {TestFleet, type TestProxy} from '../fixtures/fleet.js';
import {
	database, holdRequest, payRequest, readRequest, type StepOutcome, TestTransaction, waitUntil,
} from '../fixtures/requests.js';

const openTransaction = ({client}: TestProxy, signal?: AbortSignal) => new TestTransaction(steps => client.transact(steps, {signal}));

// Guards against a session, a payment or a transaction whose outcome depends on which proxy receives the request (P1, P3, P6).
test('requests through the acting proxy and through another proxy', async t => {
	const {group, actingProxy: acting, otherProxy: other} = await TestFleet.start(t);
	for (const [name, writer, reader] of [['forwarded', other, acting], ['local', acting, other]] as const) {
		const written = await writer.execute(holdRequest(name, {key: name}));
		t.match(written, {kind: 'done', repeated: false});
		t.match(await reader.execute(readRequest('get_booking', [name], {token: written.token})), {kind: 'done', rows: [{bookingId: name}]});
		t.match(await reader.execute(holdRequest(name, {key: name})), {kind: 'done', repeated: true}, 'the repeated request through the other proxy');
		t.match(await reader.execute(readRequest('get_booking', [name], {token: `${written.token.slice(0, -22)}${'A'.repeat(22)}`})), {kind: 'notRun', code: 'forged-session-token'});
	}

	for (const [route, proxy] of [['local', acting], ['forwarded', other]] as const) {
		for (const step of ['begin', 'execute'] as const) {
			const abort = new AbortController();
			const transaction = openTransaction(proxy, abort.signal);
			await transaction.begin();
			await (step === 'execute' && transaction.holdLane('left'));
			abort.abort();
			// More transactions than connections, so that one of them reuses the connection of the aborted transaction.
			const bookingIds = Array.from({length: 10}, (_, index) => `${route}-${step}-${index}`);
			const outcomes = await Promise.all(bookingIds.map(async bookingId => runTransaction(proxy, bookingId)));
			t.same(outcomes.filter(outcome => outcome?.kind !== 'done' || outcome.code !== '').map(outcome => `${outcome?.kind} ${outcome?.code}`), [], `${route}, cut after ${step}`);
			t.equal(await group.countRuns(0, 'left'), 0);
			for (const bookingId of bookingIds) {
				t.equal(await group.countRuns(0, bookingId), 1);
			}
		}
	}
});

/** Begins again as callers do if the begin is refused as not run: a starved machine may need longer for a connection than its time-out. */
const runTransaction = async (proxy: TestProxy, bookingId: string): Promise<StepOutcome | undefined> => {
	for (;;) {
		const transaction = openTransaction(proxy);
		const begun = await transaction.begin();
		if (begun?.kind !== 'notRun') {
			await transaction.holdLane(bookingId);
			return transaction.commit();
		}

		await sleep(begun.retryAfterMs);
	}
};

/** Work in flight at the proxy that shuts down. `begin` resolves once the work runs at the endpoint; the function it returns finishes it. */
type InFlightWork = {name: string; begin: (fleet: TestFleet) => Promise<() => Promise<{kind: string | undefined} | undefined>>};

const beginTransaction = async (proxy: TestProxy) => {
	const transaction = openTransaction(proxy);
	await transaction.begin();
	await transaction.holdLane('in-flight');
	return async () => {
		await transaction.holdLane('in-flight-2');
		return transaction.commit();
	};
};

const beginLongStatement = async (proxy: TestProxy, {group}: TestFleet) => {
	const answer = proxy.execute(payRequest('long', {timeoutMs: 20_000}));
	await waitUntil(async () => {
		const stats = await group.readStats(0);
		return stats.busySlots > 0;
	});
	return async () => answer;
};

const inFlightWork: InFlightWork[] = [
	{name: 'a long statement received directly', begin: async fleet => beginLongStatement(fleet.actingProxy, fleet)},
	{name: 'a long statement that another proxy forwarded', begin: async fleet => beginLongStatement(fleet.otherProxy, fleet)},
	{name: 'an open transaction received directly', begin: async fleet => beginTransaction(fleet.actingProxy)},
	{name: 'an open transaction that another proxy forwarded', begin: async fleet => beginTransaction(fleet.otherProxy)},
];

// Guards against a shutdown that interrupts work in flight or loses its final response (P8).
for (const {name, begin} of inFlightWork) {
	test(`graceful shutdown with ${name}`, async t => {
		const fleet = await TestFleet.start(t, {serviceMs: {pay_deposit: 1500}});
		const {actingProxy: acting, otherProxy: other, group} = fleet;
		const finish = await begin(fleet);
		const stopped = acting.stop();
		// The other proxy takes over the database while the work is still in flight.
		await waitUntil(async () => {
			const {databases} = await other.status();
			return databases.some(state => state.acting);
		});
		t.match(await other.execute(holdRequest('taken-over')), {kind: 'done'});
		await waitUntil(async () => acting.isRefusingCallers());
		t.match(await finish(), {kind: 'done'});
		await stopped;
		t.match(await other.execute(readRequest('get_booking', ['taken-over'])), {kind: 'done'});
		t.equal(await group.countRuns(0, name.startsWith('a long') ? 'long' : 'in-flight-2'), 1);
	});
}

// Guards against new work for a host whose departure is known only from the platform's list of hosts (P7).
test('an endpoint that the platform lists as leaving', async t => {
	const {platform, actingProxy: acting} = await TestFleet.start(t);
	const readServers = async () => {
		const outcomes = await Promise.all(Array.from({length: 10}, async () => acting.execute(readRequest('lane_board', ['']))));
		t.ok(outcomes.every(({kind}) => kind === 'done'));
		return new Set(outcomes.map(({servedBy}) => servedBy));
	};

	await waitUntil(async () => {
		const served = await readServers();
		return served.has('m1');
	});
	const startMs = performance.now();
	platform.setHosts([{
		hostId: 'm1', role: 'endpoint', address: '', failureDomain: 'fd1', region: 'default', state: 'leaving',
	}]);
	await waitUntil(async () => {
		const {databases} = await acting.status() as unknown as {databases: Array<{instances: Array<{memberId: string; leaving: boolean}>}>};
		return databases[0]!.instances.some(({memberId, leaving}) => memberId === 'm1' && leaving);
	});
	t.ok(performance.now() - startMs <= 3000, `known for ${database} within 3 s`);
	for (let round = 0; round < 10; round += 1) {
		const served = await readServers();
		t.notOk(served.has('m1'));
	}
});
