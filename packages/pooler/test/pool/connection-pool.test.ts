import {ManualTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {ConnectionPool, type ConnectionShare} from '../../src/index.js';
import {createEndpoint, FakeConnector, FakeEndpoint} from '../fixtures/fake-endpoints.js';

function poolOf(share: ConnectionShare) {
	const timers = new ManualTimerService();
	const endpoint = createEndpoint('p', 'primary');
	const fake = new FakeEndpoint(endpoint);
	const connector = new FakeConnector(new Map([['p', fake]]), timers);
	return {
		timers, fake, connector, pool: new ConnectionPool({
			endpoint, connector, timers, share: () => share,
		}),
	};
}

const settle = async (timers: ManualTimerService, forMs = 0) => timers.advanceAsync(forMs, 10);

// Pattern: a burst of more statements than connections, some of them urgent.
test('a burst waits for the share of connections, urgent statements first', async t => {
	const {pool, timers, fake} = poolOf({guaranteed: 2, maxConnections: 30});
	const order: string[] = [];
	const run = async (name: string, priority: number) => {
		const acquired = await pool.acquire({priority, deadlineMs: 5000});
		if (acquired.isErr()) {
			order.push(`${name} ${acquired.error.kind}`);
			return;
		}

		order.push(name);
		await timers.sleep(20);
		pool.release(acquired.value);
	};

	const all = Promise.all([...Array.from({length: 6}, async (_, index) => run(`read ${index}`, 2)), run('hold', 1)]);
	await settle(timers, 300);
	await all;
	t.equal(fake.connections, 2);
	t.ok(order.indexOf('hold') <= 2, 'it passed all reads but those that got the first two connections');
	t.equal(order.length, 7);
});

// Pattern: more work than the connections can finish in time.
test('a statement that cannot get a connection in time is refused at once', async t => {
	const {pool, timers} = poolOf({guaranteed: 1, maxConnections: 30});
	const first = pool.acquire({priority: 1, deadlineMs: 1000});
	await settle(timers, 10);
	t.ok((await first).isOk());
	const waiting = Array.from({length: 10}, async () => pool.acquire({priority: 1, deadlineMs: 1000}));
	const late = await pool.acquire({priority: 1, deadlineMs: timers.nowMs() + 100});
	t.equal(late._unsafeUnwrapErr().kind, 'overloaded');
	pool.close();
	await Promise.all(waiting);
});

// Pattern: an endpoint that is down while many statements want it; 68,286 attempts in 6 s on the grown bench.
test('an endpoint out of reach gets one attempt at a time', async t => {
	const {pool, timers, fake, connector} = poolOf({guaranteed: 5, maxConnections: 30});
	fake.isReachable = false;
	const all = Array.from({length: 20}, async (_, index) => {
		await timers.sleep(index * 100);
		return pool.acquire({priority: 1, deadlineMs: timers.nowMs() + 500});
	});
	await settle(timers, 5000);
	t.ok((await Promise.all(all)).every(result => result.isErr()));
	t.ok(connector.connectAttempts <= 8, `${connector.connectAttempts} attempts`);
});

// Guards against control commands that open a connection each when all are in use.
test('control commands exceed the share by one connection at most', async t => {
	const {pool, timers, fake} = poolOf({guaranteed: 2, maxConnections: 30});
	const all = Array.from({length: 8}, async () => pool.acquire({priority: -1, deadlineMs: 200, mayExceedShare: true}));
	await settle(timers, 300);
	await Promise.all(all);
	t.equal(fake.connections, 3);
});
