import {RetryBudget} from '@dogwoodthread/coordination';
import {type Test, test} from 'tap';
import {
	Catalog, type ClientStatement, type Configuration, LocalExecutor, Session,
} from '../../src/index.js';
import {type FakeEndpoint, type Fault, GroupFixture} from '../fixtures/fake-endpoints.js';

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
		timers: this.timers, events: this.events, metrics: this.metrics, failureDomain: 'p', hedges: new RetryBudget({ratio: 0.1, burst: 10}),
	};

	readonly executor = new LocalExecutor(this.group, this.context);

	open(database: string): Session {
		this.catalog.onConfiguration(configuration);
		return new Session(database, {...this.context, catalog: this.catalog, executorOf: () => this.executor});
	}

	async say(session: Session, statement: ClientStatement): Promise<string> {
		const {outcome, transaction} = await this.advanceUntilSettled(session.handle(statement));
		return `${outcome.kind === 'done' ? outcome.signature : outcome.code} ${transaction}`;
	}

	/** All that ran at any endpoint, less status requests. */
	get ran(): string[] {
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

// Each line: what the client is told. A fault must never turn into a false promise or a second write.
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
		name: 'write, no answer after it ran', database: 'holds', faults: [['p', 'write', ['run-then-silent']]], statements: [write],
	},
	{
		name: 'write, busy twice', database: 'holds', faults: [['p', 'write', ['busy', 'busy']]], statements: [write],
	},
	{
		name: 'read that sees all, connection lost', database: 'holds', faults: [['p', 'read', ['lost']]], statements: [read],
	},
	{
		name: 'bounded read, answers lost at two members', database: 'boards', faults: [['r1', 'read', ['lost']], ['r2', 'read', ['lost']], ['p', 'read', ['lost']]], statements: [read],
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
		name: 'transaction, commit without an answer', database: 'holds', faults: [['p', 'commit', ['silent']]], statements: [begin, write, commit],
	},
	{
		name: 'transaction, busy inside', database: 'holds', faults: [['p', 'write', ['busy']]], statements: [begin, write, commit],
	},
	{
		name: 'rollback', database: 'holds', faults: [], statements: [begin, write, rollback, read],
	},
	{
		name: 'empty transaction', database: 'holds', faults: [], statements: [begin, commit],
	},
	{
		name: 'out of turn', database: 'holds', faults: [], statements: [commit, rollback, begin, begin, rollback],
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

async function play(t: Test, {database, faults, statements}: Case): Promise<void> {
	const fixture = await new SessionFixture().start();
	for (const [endpoint, kind, list] of faults) {
		fixture.fakes.get(endpoint)!.faults.set(kind as 'read', list);
	}

	const session = fixture.open(database);
	const answers: string[] = [];
	for (const statement of statements) {
		answers.push(`${statement.kind}: ${await fixture.say(session, statement)}`);
	}

	await fixture.advance(1200);
	t.matchSnapshot({answers, ran: fixture.ran}, 'answers and what ran');
	t.ok([...fixture.group.members.values()].every(({pool}) => pool.inUseCount === 0), 'no connection stays in use');
}

for (const row of cases) {
	test(row.name, async t => play(t, row));
}

// Guards against a session that misses its own write, whichever replica serves it.
test('a read after a write waits for no replica that lacks it', async t => {
	const fixture = await new SessionFixture().start();
	const session = fixture.open('desk');
	await fixture.say(session, write);
	t.equal(await fixture.say(session, read), 'sig idle');
	t.ok(fixture.ran.includes('p/read:r'), 'the replicas lag, so the primary served it');
});

// Guards against values of one client in force for another.
test('values and prepared statements follow their session over shared connections', async t => {
	const fixture = await new SessionFixture().start();
	const [first, second] = [fixture.open('holds'), fixture.open('holds')];
	await fixture.say(first, {
		kind: 'set', id: 's', name: 'lang', value: 'en',
	});
	await fixture.say(first, {
		kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: 'q2c',
	});
	await fixture.say(first, {
		kind: 'execute', id: 'e1', name: 's1', argument: 'x 1',
	});
	await fixture.say(second, write);
	await fixture.say(first, {
		kind: 'execute', id: 'e2', name: 's1', argument: 'x 2',
	});
	t.matchSnapshot(fixture.ran.filter(command => command.startsWith('p/')));
});

// Guards against a write at a primary that was told to step down, and against refusing it when the next one is there.
test('a write that a former primary refuses goes to the next one', async t => {
	const fixture = await new SessionFixture().start();
	fixture.primary.role = 'replica';
	const session = fixture.open('holds');
	const answer = fixture.say(session, write);
	await fixture.advance(200);
	fixture.replica(1).role = 'primary';
	fixture.replica(1).term = 2;
	t.equal(await answer, 'sig idle');
	t.ok(fixture.ran.includes('r1/write:w'));
});

// Guards against clients that rest inside a transaction and hold a connection and locks.
test('a transaction that rests for too long is rolled back, and the client is told at its next statement', async t => {
	const fixture = await new SessionFixture().start();
	const session = fixture.open('holds');
	await fixture.say(session, begin);
	await fixture.say(session, write);
	session.expireTransaction('idle-in-transaction');
	await fixture.advance(50);
	t.equal(fixture.ran.at(-1), 'p/rollback');
	t.equal(await fixture.say(session, read), 'aborted failed');
	t.equal(await fixture.say(session, rollback), '- idle');
});

// Guards against a host that holds back what cannot be served until its deadline.
test('while the primary confirms nothing and no replica answers, writes are refused at once', async t => {
	const fixture = await new SessionFixture().start();
	fixture.replica(1).isReachable = false;
	fixture.replica(2).isReachable = false;
	fixture.primary.isReachable = false;
	await fixture.advance(3500);
	const startedMs = fixture.timers.nowMs();
	const session = fixture.open('holds');
	fixture.group.leader!.pendingWrites.add({sentAtMs: startedMs});
	t.equal(await fixture.say(session, write), 'busy idle');
	t.ok(fixture.timers.nowMs() - startedMs <= 50, `refused after ${fixture.timers.nowMs() - startedMs} ms`);
});

// Guards against a statement that runs after its transaction was given up, and a connection that is never given back,
// because the end came while the transaction was still getting its connection.
test('a transaction that ends while its statement gets a connection runs nothing more', async t => {
	const outcomes = await Promise.all(Array.from({length: 40}, async (_, turns) => {
		const fixture = await new SessionFixture().start();
		const session = fixture.open('holds');
		await fixture.say(session, begin);
		const answer = session.handle(read);
		for (let turn = 0; turn < turns; turn += 1) {
			await Promise.resolve();
		}

		const isSent = fixture.ran.includes('p/read:r');
		session.close();
		await fixture.advanceUntilSettled(answer);
		await fixture.advance(2000);
		return {
			ranLate: !isSent && fixture.ran.includes('p/read:r'),
			heldConnections: [...fixture.group.members.values()].reduce((sum, {pool}) => sum + pool.inUseCount, 0),
		};
	}));
	t.same(outcomes.filter(({ranLate, heldConnections}) => ranLate || heldConnections > 0), []);
});
