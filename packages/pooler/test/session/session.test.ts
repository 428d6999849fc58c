import {RetryBudget} from '@dogwoodthread/coordination';
import {type Test, test} from 'tap';
import {
	Catalog, type ClientStatement, type Configuration, LocalExecutor, Session,
} from '../../src/index.js';
import {type FakeEndpoint, type Fault, GroupFixture} from '../fixtures/fake-endpoints.js';
import {createSessionMemory} from '../fixtures/session-memory.js';

const route = {
	database: 'holds', service: 'ledger', consistency: 'primary' as const, statementTimeoutMs: 1000, latencyObjectiveMs: 200, priority: 1, maxStalenessMs: 0,
};
const configuration: Configuration = {
	version: 1,
	transactionIdleMs: 3000,
	services: [{service: 'ledger', maxConnections: 30, syncReplicas: 1}],
	routes: [
		route,
		{
			...route, database: 'boards', consistency: 'bounded-staleness', maxStalenessMs: 1500,
		},
		{
			...route, database: 'desk', consistency: 'read-your-writes', maxStalenessMs: 2500,
		},
	],
};

class SessionFixture extends GroupFixture {
	readonly catalog = new Catalog();
	readonly context = {
		timers: this.timers, events: this.events, metrics: this.metrics, failureDomain: 'p', hedgeBudget: new RetryBudget({ratio: 0.1, burst: 10}),
	};

	readonly executor = new LocalExecutor(this.group, this.context);

	open(database: string): Session {
		this.catalog.onConfiguration(configuration);
		return new Session(database, {
			...this.context, catalog: this.catalog, executorOf: () => this.executor, memory: createSessionMemory().memory,
		});
	}

	async send(session: Session, statement: ClientStatement): Promise<string> {
		const {outcome, transaction} = await this.advanceUntilSettled(session.handle(statement));
		return `${outcome.kind === 'done' ? outcome.signature : outcome.code} ${transaction}`;
	}

	/** Commands that ran at any endpoint, without status requests. */
	get executedCommands(): string[] {
		return [...this.fakes.values()].flatMap((fake: FakeEndpoint) => fake.executedCommands.filter(command => command !== 'status').map(command => `${fake.endpoint.endpointId}/${command}`));
	}
}

const begin: ClientStatement = {kind: 'begin', id: 'b', readOnly: false};
const read: ClientStatement = {kind: 'read', id: 'r', text: 'READ x'};
const write: ClientStatement = {kind: 'write', id: 'w', text: 'WRITE x 1'};
const commit: ClientStatement = {kind: 'commit', id: 'c'};
const rollback: ClientStatement = {kind: 'rollback', id: 'rb'};

type Case = {
	name: string;
	database: string;
	faults: Array<['p' | 'r1' | 'r2', ClientStatement['kind'] | 'begin', Fault[]]>;
	statements: ClientStatement[];
};

// The snapshot of each case shows the answers to the client and the commands that ran. A fault must never lead to an
// answer that promises a wrong outcome, or to a write that runs twice.
const cases: Case[] = [
	{
		name: 'write', database: 'holds', faults: [], statements: [write],
	},
	{
		name: 'write, connection lost before it ran', database: 'holds', faults: [['p', 'write', ['lost']]], statements: [write],
	},
	{
		name: 'write, answer lost after it ran', database: 'holds', faults: [['p', 'write', ['run-then-lost']]], statements: [write],
	},
	{
		name: 'write, answer timed out after it ran', database: 'holds', faults: [['p', 'write', ['run-then-silent']]], statements: [write],
	},
	{
		name: 'write, busy twice', database: 'holds', faults: [['p', 'write', ['busy', 'busy']]], statements: [write],
	},
	{
		name: 'primary read, connection lost', database: 'holds', faults: [['p', 'read', ['lost']]], statements: [read],
	},
	{
		name: 'bounded read, connections lost at all members', database: 'boards', faults: [['r1', 'read', ['lost']], ['r2', 'read', ['lost']], ['p', 'read', ['lost']]], statements: [read],
	},
	{
		name: 'transaction', database: 'holds', faults: [], statements: [begin, read, write, commit],
	},
	{
		name: 'transaction, connection lost at a write', database: 'holds', faults: [['p', 'write', ['run-then-lost']]], statements: [begin, write, read, commit],
	},
	{
		name: 'transaction, commit answer lost', database: 'holds', faults: [['p', 'commit', ['run-then-lost']]], statements: [begin, write, commit],
	},
	{
		name: 'transaction without writes, commit answer lost', database: 'holds', faults: [['p', 'commit', ['lost']]], statements: [begin, read, commit],
	},
	{
		name: 'transaction, commit timed out', database: 'holds', faults: [['p', 'commit', ['silent']]], statements: [begin, write, commit],
	},
	{
		name: 'transaction, write refused as busy once', database: 'holds', faults: [['p', 'write', ['busy']]], statements: [begin, write, commit],
	},
	{
		name: 'rollback', database: 'holds', faults: [], statements: [begin, write, rollback, read],
	},
	{
		name: 'empty transaction', database: 'holds', faults: [], statements: [begin, commit],
	},
	{
		name: 'transaction commands out of order', database: 'holds', faults: [], statements: [commit, rollback, begin, begin, rollback],
	},
	{
		name: 'unknown prepared statement', database: 'holds', faults: [], statements: [{
			kind: 'execute', id: 'e', name: 's1', argument: 'x',
		}],
	},
	{
		name: 'read-only transaction on a bounded route', database: 'boards', faults: [], statements: [{...begin, readOnly: true}, read, commit],
	},
];

async function runCase(t: Test, {database, faults, statements}: Case): Promise<void> {
	const fixture = await new SessionFixture().start();
	for (const [endpointId, kind, faultList] of faults) {
		fixture.fakes.get(endpointId)!.faults.set(kind as 'read', faultList);
	}

	const session = fixture.open(database);
	const answers: string[] = [];
	for (const statement of statements) {
		answers.push(`${statement.kind}: ${await fixture.send(session, statement)}`);
	}

	await fixture.advance(1200);
	t.matchSnapshot({answers, ran: fixture.executedCommands}, 'answers and what ran');
	t.ok([...fixture.group.members.values()].every(({pool}) => pool.inUseCount === 0), 'every connection is released');
}

for (const testCase of cases) {
	test(testCase.name, async t => runCase(t, testCase));
}

// Guards against a read that misses the session's own write because a lagging replica serves it.
test('a read after a write is not served by a replica that lacks the write', async t => {
	const fixture = await new SessionFixture().start();
	const session = fixture.open('desk');
	await fixture.send(session, write);
	t.equal(await fixture.send(session, read), 'sig idle');
	t.ok(fixture.executedCommands.includes('p/read:r'), 'the primary served the read because the replicas lag');
});

// Guards against session values of one client that take effect for another client on the same endpoint connection.
test('session values and prepared statements follow their session across shared connections', async t => {
	const fixture = await new SessionFixture().start();
	const [first, second] = [fixture.open('holds'), fixture.open('holds')];
	await fixture.send(first, {
		kind: 'set', id: 's', name: 'lang', value: 'en',
	});
	await fixture.send(first, {
		kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: 'q2c',
	});
	await fixture.send(first, {
		kind: 'execute', id: 'e1', name: 's1', argument: 'x 1',
	});
	await fixture.send(second, write);
	await fixture.send(first, {
		kind: 'execute', id: 'e2', name: 's1', argument: 'x 2',
	});
	t.matchSnapshot(fixture.executedCommands.filter(command => command.startsWith('p/')));
});

// Guards against a write that runs at a primary that was told to step down, and against a write that is refused
// although the next primary is available.
test('a write that a former primary refuses runs at the next primary', async t => {
	const fixture = await new SessionFixture().start();
	fixture.primary.role = 'replica';
	const session = fixture.open('holds');
	const answer = fixture.send(session, write);
	await fixture.advance(200);
	fixture.replica(1).role = 'primary';
	fixture.replica(1).term = 2;
	t.equal(await answer, 'sig idle');
	t.ok(fixture.executedCommands.includes('r1/write:w'));
});

// Guards against clients that are idle inside a transaction and keep a connection and locks.
test('a transaction that is idle for too long is rolled back, and the client is told at its next statement', async t => {
	const fixture = await new SessionFixture().start();
	const session = fixture.open('holds');
	await fixture.send(session, begin);
	await fixture.send(session, write);
	session.expireTransaction('idle-in-transaction');
	await fixture.advance(50);
	t.equal(fixture.executedCommands.at(-1), 'p/rollback');
	t.equal(await fixture.send(session, read), 'aborted failed');
	t.equal(await fixture.send(session, rollback), '- idle');
});

// Guards against a host that keeps a write that cannot be served waiting until its deadline.
test('while the primary confirms nothing and no replica answers, writes are refused at once', async t => {
	const fixture = await new SessionFixture().start();
	fixture.replica(1).isReachable = false;
	fixture.replica(2).isReachable = false;
	fixture.primary.isReachable = false;
	await fixture.advance(3500);
	const startedMs = fixture.timers.nowMs();
	const session = fixture.open('holds');
	fixture.group.leader!.pendingWrites.add({sentAtMs: startedMs});
	t.equal(await fixture.send(session, write), 'busy idle');
	t.ok(fixture.timers.nowMs() - startedMs <= 50, `refused after ${fixture.timers.nowMs() - startedMs} ms`);
});

// Guards against a statement that runs after its transaction has ended, and against a connection that is never released.
// Both could happen when the session closed while the transaction was still acquiring its connection. Each of the 40 runs
// closes the session at a different microtask.
test('a transaction that ends while its statement acquires a connection runs nothing more', async t => {
	const outcomes = await Promise.all(Array.from({length: 40}, async (_, turnCount) => {
		const fixture = await new SessionFixture().start();
		const session = fixture.open('holds');
		await fixture.send(session, begin);
		const answer = session.handle(read);
		for (let turn = 0; turn < turnCount; turn += 1) {
			await Promise.resolve();
		}

		const isSent = fixture.executedCommands.includes('p/read:r');
		session.close();
		await fixture.advanceUntilSettled(answer);
		await fixture.advance(2000);
		return {
			isRunAfterClose: !isSent && fixture.executedCommands.includes('p/read:r'),
			connectionsInUse: [...fixture.group.members.values()].reduce((sum, {pool}) => sum + pool.inUseCount, 0),
		};
	}));
	t.same(outcomes.filter(({isRunAfterClose, connectionsInUse}) => isRunAfterClose || connectionsInUse > 0), []);
});

// Guards against a client whose statement can never be prepared, and for which connections are closed and opened until its time is over.
test('a value or a statement that the endpoints refuse is told to the client at once', async t => {
	const set: ClientStatement = {
		kind: 'set', id: 's', name: 'lang', value: 'en',
	};
	const prepare = (access: 'read' | 'write'): ClientStatement => ({
		kind: 'prepare', id: 'p', name: 's1', access, shape: 'q2c',
	});
	const execute: ClientStatement = {
		kind: 'execute', id: 'e', name: 's1', argument: 'x 1',
	};
	const cases: Array<[database: string, refused: 'set' | 'prepare', statements: ClientStatement[]]> = [
		['holds', 'prepare', [prepare('read'), execute]],
		['holds', 'prepare', [prepare('write'), execute]],
		['boards', 'prepare', [prepare('read'), execute]],
		['holds', 'prepare', [begin, prepare('write'), execute, commit]],
		['holds', 'set', [set, write]],
		['boards', 'set', [set, read]],
		['holds', 'set', [set, begin, write, commit]],
	];
	for (const [database, refused, statements] of cases) {
		const fixture = await new SessionFixture().start();
		const connectionsBefore = [...fixture.fakes.values()].map(({lastConnectionNumber}) => lastConnectionNumber);
		for (const fake of fixture.fakes.values()) {
			fake.faults.set(refused, Array.from({length: 1000}, () => 'refused'));
		}

		const session = fixture.open(database);
		const startedMs = fixture.timers.nowMs();
		const answers: string[] = [];
		for (const statement of statements) {
			answers.push(await fixture.send(session, statement));
		}

		t.matchSnapshot([database, refused, statements.map(({kind}) => kind), answers]);
		t.ok(fixture.timers.nowMs() - startedMs < 500, `after ${fixture.timers.nowMs() - startedMs} ms`);
		const opened = [...fixture.fakes.values()].map(({lastConnectionNumber}, index) => lastConnectionNumber - connectionsBefore[index]!);
		t.ok(opened.every(count => count <= 1), `connections opened: ${opened.join(', ')}`);
	}
});
