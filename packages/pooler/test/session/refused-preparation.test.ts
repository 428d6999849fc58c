import {RetryBudget} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {
	Catalog, type ClientStatement, type Configuration, type ConnectionShare, type EndpointCommand, type ErrorCode, LocalExecutor, Session,
} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';
import {createSessionMemory} from '../fixtures/session-memory.js';

const configuration: Configuration = {
	version: 1,
	transactionIdleMs: 3000,
	services: [{service: 'ledger', maxConnections: 30, syncReplicas: 1}],
	routes: [{
		database: 'holds', service: 'ledger', consistency: 'primary', statementTimeoutMs: 1000, latencyObjectiveMs: 200, priority: 1, maxStalenessMs: 0,
	}],
};

/** A group with one connection to each endpoint, so that all clients share it. */
class RefusingFixture extends GroupFixture {
	override readonly share: ConnectionShare = {guaranteed: 1, maxConnections: 1};
	readonly #catalog = new Catalog();
	readonly #context = {
		timers: this.timers, events: this.events, metrics: this.metrics, failureDomain: 'p', hedgeBudget: new RetryBudget({ratio: 0.1, burst: 10}),
	};

	readonly #executor = new LocalExecutor(this.group, this.#context);

	open(): Session {
		this.#catalog.onConfiguration(configuration);
		return new Session('holds', {
			...this.#context, catalog: this.#catalog, executorOf: () => this.#executor, memory: createSessionMemory().memory,
		});
	}

	async send(session: Session, statement: ClientStatement): Promise<string> {
		const {outcome, transaction} = await this.advanceUntilSettled(session.handle(statement));
		return `${outcome.kind === 'done' ? 'done' : outcome.code} ${transaction}`;
	}

	/** Answers the next `count` commands of the kind with an error, after they have taken effect. */
	answerWithError(kind: EndpointCommand['kind'], code: ErrorCode, count = 1): void {
		const {primary} = this;
		const execute = primary.execute.bind(primary);
		const left = {count};
		primary.execute = (command, transaction) => {
			if (command.kind !== kind || left.count === 0) {
				return execute(command, transaction);
			}

			left.count -= 1;
			return {
				rows: [], error: {code, text: code}, transaction: transaction.isOpen ? 'open' : 'idle', position: primary.log,
			};
		};
	}

	/** Session values at the instance when it ran the statement. */
	valuesOf(id: string): Readonly<Record<string, string>> | undefined {
		return this.primary.receivedCommands.findLast(({command}) => 'id' in command && command.id === id)?.values;
	}
}

const set = (name: string, value: string): ClientStatement => ({
	kind: 'set', id: 's', name, value,
});
const write = (id: string): ClientStatement => ({kind: 'write', id, text: 'WRITE x 1'});

/** Codes that say that there was a run, or nothing about it; an unknown word of an instance becomes `failed`. */
const codesOfRun = ['failed', 'timeout', 'in-doubt'] as const;

for (const code of codesOfRun) {
	// Guards against a session value of another client: the instance says that it has run the SET, or does not say what it did,
	// and the connection is given back as if the value were not set.
	test(`after a SET that is answered ${code}, the connection serves no other client with that value`, async t => {
		const fixture = await new RefusingFixture().start();
		const [one, other] = [fixture.open(), fixture.open()];
		fixture.answerWithError('set', code);
		await fixture.send(one, set('zone', 'a'));
		await fixture.send(one, write('w1'));
		t.equal(await fixture.send(other, write('w2')), 'done idle');
		t.same(fixture.valuesOf('w2'), {});
	});

	// Guards against the same in a transaction, whose connection is given back after its rollback.
	test(`after a SET in a transaction that is answered ${code}, the connection serves no other client with that value`, async t => {
		const fixture = await new RefusingFixture().start();
		const [one, other] = [fixture.open(), fixture.open()];
		await fixture.send(one, {kind: 'begin', id: 'b', readOnly: false});
		await fixture.send(one, write('w0'));
		fixture.answerWithError('set', code);
		await fixture.send(one, set('zone', 'a'));
		await fixture.send(one, write('w1'));
		await fixture.send(one, {kind: 'rollback', id: 'rb'});
		t.equal(await fixture.send(other, write('w2')), 'done idle');
		t.same(fixture.valuesOf('w2'), {});
	});

	// Guards against a statement without the values of its client: the instance has cleared them, and the connection is given
	// back as if it had not.
	test(`after a RESET that is answered ${code}, a client runs with its values`, async t => {
		const fixture = await new RefusingFixture().start();
		const [one, other] = [fixture.open(), fixture.open()];
		await fixture.send(one, set('zone', 'a'));
		t.equal(await fixture.send(one, write('w1')), 'done idle');
		fixture.answerWithError('reset', code);
		await fixture.send(other, write('w2'));
		t.equal(await fixture.send(one, write('w3')), 'done idle');
		t.same(fixture.valuesOf('w3'), {zone: 'a'});
	});
}

// Guards against an error for a client that has set and prepared nothing wrong: the RESET is the pool's own command.
test('a RESET that an instance refuses is not told to the client', async t => {
	const fixture = await new RefusingFixture().start();
	const [one, other] = [fixture.open(), fixture.open()];
	await fixture.send(one, set('zone', 'a'));
	await fixture.send(one, write('w1'));
	fixture.answerWithError('reset', 'failed');
	t.equal(await fixture.send(other, write('w2')), 'done idle', 'another connection serves it');
});

// Guards against an error for a client whose statement only needs the place of another one: the DEALLOC is the pool's own command.
test('a DEALLOC that an instance refuses is not told to the client', async t => {
	const fixture = await new RefusingFixture().start();
	const session = fixture.open();
	const answers: string[] = [];
	for (let index = 0; index <= 256; index += 1) {
		if (index === 256) {
			fixture.answerWithError('deallocate', 'failed');
		}

		await fixture.send(session, {
			kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: `q${index}`,
		});
		answers.push(await fixture.send(session, {
			kind: 'execute', id: `e${index}`, name: 's1', argument: 'x 1',
		}));
	}

	t.same([...new Set(answers)], ['done idle']);
});

// Guards against a prepared statement that is unknown to its client although its preparing was acknowledged.
test('a prepared statement that an instance has forgotten is never unknown to its client', async t => {
	for (const inTransaction of [false, true]) {
		const fixture = await new RefusingFixture().start();
		const session = fixture.open();
		const prepare: ClientStatement = {
			kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: 'q',
		};
		await fixture.send(session, prepare);
		if (inTransaction) {
			await fixture.send(session, {kind: 'begin', id: 'b', readOnly: false});
		}

		fixture.answerWithError('execute', 'unknown-statement');
		const answer = await fixture.send(session, {
			kind: 'execute', id: 'e1', name: 's1', argument: 'x 1',
		});
		t.not(answer.split(' ')[0], 'unknown-statement', inTransaction ? 'in a transaction' : 'alone');
	}
});

// Guards against a statement that runs out of its time, or is sent after it, because many others make room for it first.
test('a long statement that takes the place of many short ones is answered in its time', async t => {
	const fixture = await new RefusingFixture().start();
	const session = fixture.open();
	for (let index = 0; index < 255; index += 1) {
		await fixture.send(session, {
			kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: `q${index}`,
		});
		await fixture.send(session, {
			kind: 'execute', id: `e${index}`, name: 's1', argument: 'x 1',
		});
	}

	await fixture.send(session, {
		kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: 'q'.repeat(262_144),
	});
	fixture.primary.answerDelayMs = ({kind}) => kind === 'status' ? 0 : 10;
	const startedMs = fixture.timers.nowMs();
	const answer = await fixture.send(session, {
		kind: 'execute', id: 'e', name: 's1', argument: 'x 1',
	});
	const tookMs = fixture.timers.nowMs() - startedMs;
	const deallocations = fixture.primary.receivedCommands.filter(({command}) => command.kind === 'deallocate').length;
	t.equal(answer, 'done idle', `after ${tookMs} ms and ${deallocations} deallocations`);
	t.ok(tookMs <= 1000, `answered after ${tookMs} ms, with a limit of 1,000 ms`);
});

// Guards against a write that ends with its outcome unknown, so that its client cannot repeat it, although the instance only
// failed to take a session value once and nothing of the write was sent.
test('a write whose session value fails once is served over another connection', async t => {
	for (const code of codesOfRun) {
		const fixture = await new RefusingFixture().start();
		const session = fixture.open();
		fixture.answerWithError('set', code);
		await fixture.send(session, set('zone', 'a'));
		t.equal(await fixture.send(session, write('w1')), 'done idle', code);
	}
});
