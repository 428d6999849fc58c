import {RetryBudget} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {
	Catalog, type ClientAnswer, type ClientStatement, LocalExecutor, Session,
} from '../../src/index.js';
import {GroupFixture} from '../fixtures/fake-endpoints.js';
import {createSessionMemory} from '../fixtures/session-memory.js';

const shape = 'x'.repeat(1000);
const prepare = (name: string, text = shape): ClientStatement => ({
	kind: 'prepare', id: 'q', name, access: 'read', shape: text,
});
const set = (name: string, value: string): ClientStatement => ({
	kind: 'set', id: 'q', name, value,
});
const execute = (name: string): ClientStatement => ({
	kind: 'execute', id: 'e', name, argument: '7a',
});
const begin = (id = 'b'): ClientStatement => ({kind: 'begin', id, readOnly: false});

async function createSession(limits?: Parameters<typeof createSessionMemory>[0]) {
	const group = new GroupFixture();
	await group.start();
	const catalog = new Catalog();
	catalog.onConfiguration({
		version: 1,
		transactionIdleMs: 3000,
		services: [{service: 'ledger', maxConnections: 30, syncReplicas: 1}],
		routes: [{
			database: 'holds', service: 'ledger', consistency: 'primary', statementTimeoutMs: 1000, latencyObjectiveMs: 200, priority: 1, maxStalenessMs: 0,
		}],
	});
	const context = {
		timers: group.timers, events: group.events, metrics: group.metrics, failureDomain: 'p', hedgeBudget: new RetryBudget({ratio: 0.1, burst: 10}),
	};
	const executor = new LocalExecutor(group.group, context);
	const {memory} = createSessionMemory(limits);
	const session = new Session('holds', {
		...context, catalog, executorOf: () => executor, memory,
	});
	const send = async (statement: ClientStatement): Promise<ClientAnswer> => group.advanceUntilSettled(session.handle(statement));
	const sendAll = async (statements: ClientStatement[]): Promise<string[]> => {
		const answers: string[] = [];
		for (const statement of statements) {
			const {outcome, transaction} = await send(statement);
			answers.push(`${outcome.kind === 'done' ? 'done' : outcome.code} ${transaction}`);
		}

		return answers;
	};

	return {
		group, memory, session, send, sendAll,
	};
}

// Guards against a refused statement that takes the place of the one that the session had under that name.
test('a refused statement leaves the session as it was, and says what to do', async t => {
	const {send, sendAll, memory, group} = await createSession({sessionLimitBytes: 8000});
	await sendAll([prepare('s1', 'q2c'), set('tz', 'EAT')]);
	const {heldBytes} = memory;
	const refused = await send(prepare('s1', 'x'.repeat(10_000)));
	t.match(refused, {outcome: {kind: 'error', code: 'too-large', text: /kept none of this statement; send shorter texts, deallocate statements, or continue in a new session/}, transaction: 'idle'});
	t.match(await sendAll([set('tz', 'y'.repeat(10_000)), set('new', 'y'.repeat(10_000)), prepare('new', 'x'.repeat(10_000))]), ['too-large idle', 'too-large idle', 'too-large idle']);
	t.equal(memory.heldBytes, heldBytes);
	t.same(await sendAll([execute('s1'), execute('new')]), ['done idle', 'unknown-statement idle']);
	const executed = group.fakes.get('p')!.receivedCommands.find(({command}) => command.kind === 'execute');
	t.same(executed?.values, {tz: 'EAT'});
});

// Guards against memory that stays counted after the text was replaced or deallocated, or after the session has ended.
test('the memory of a session is released', async t => {
	const {session, sendAll, memory} = await createSession();
	t.same(await sendAll([
		prepare('s1'), set('tz', 'EAT'), begin(), execute('s1'), prepare('s1', 'q'), prepare('s1'), prepare('s2'),
	]), ['done idle', 'done idle', 'done open', 'done open', 'done open', 'done open', 'done open']);
	const inTransaction = memory.heldBytes;
	await sendAll([{kind: 'rollback', id: 'r'}]);
	const outside = memory.heldBytes;
	t.ok(outside < inTransaction, 'the ids of the transaction are released');
	await sendAll([{kind: 'deallocate', id: 'd', name: 's2'}, {kind: 'deallocate', id: 'd', name: 's2'}]);
	t.ok(memory.heldBytes < outside - shape.length);
	await sendAll([begin()]);
	session.close();
	session.close();
	t.equal(memory.heldBytes, 0);
});

// Guards against memory that stays counted when a statement fails, or when the host answers before it ends.
test('the memory of a session is released after errors', async t => {
	const {session, send, sendAll, memory} = await createSession({sessionLimitBytes: 5000});
	await sendAll([prepare('s1'), prepare('s2', 'x'.repeat(5000)), begin(), begin('b2'), execute('unknown')]);
	const running = send(execute('s1'));
	session.interrupt();
	await running;
	session.close();
	t.equal(memory.heldBytes, 0);
});

// Guards against ids of statements that fill the memory: one transaction may have any number of statements.
test('the ids of a transaction are bounded in number and length', async t => {
	const {sendAll, memory, group} = await createSession();
	await sendAll([begin(), ...Array.from({length: 200}, (_, index): ClientStatement => ({kind: 'read', id: `${'i'.repeat(100)}${index}`, text: 'READ x'}))]);
	t.ok(memory.heldBytes < 4096);
	await sendAll([{
		kind: 'execute', id: 'last', name: 'unknown', argument: '',
	}]);
	const {transactionIds} = group.events.eventsNamed('request-refused').at(-1)!;
	t.match(transactionIds, /^b i{64} .* \(185 more\)$/);
	t.ok(String(transactionIds).length < 1500, 'the log keeps all of them');
});

// Guards against a `BEGIN` whose id of up to 1 MiB is kept until the first statement of the transaction.
test('the id of an open transaction counts', async t => {
	const {sendAll, memory} = await createSession();
	t.same(await sendAll([begin('i'.repeat(500_000)), begin('i'.repeat(100_000))]), ['too-large idle', 'done open']);
	t.ok(memory.heldBytes > 100_000);
	await sendAll([{kind: 'rollback', id: 'r'}]);
	t.equal(memory.heldBytes, 0);
});
