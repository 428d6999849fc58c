import {RetryBudget} from '@dogwoodthread/coordination';
import {ok} from 'neverthrow';
import {test} from 'tap';
import {
	Catalog, type ClientStatement, type Configuration, type Endpoint, LocalExecutor, Session,
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

/** Text that the connection of the platform's protocol answers itself as `too-large`, without a byte to the endpoint. */
const unsendable = 'x 1'.padEnd(1_100_000, '1');

class UnsentFixture extends GroupFixture {
	readonly #catalog = new Catalog();
	readonly #context = {
		timers: this.timers, events: this.events, metrics: this.metrics, failureDomain: 'p', hedgeBudget: new RetryBudget({ratio: 0.1, burst: 10}),
	};

	readonly #executor = new LocalExecutor(this.group, this.#context);

	constructor() {
		super();
		const connect = this.connector.connect.bind(this.connector);
		this.connector.connect = async (endpoint: Endpoint, timeoutMs: number) => {
			const connected = await connect(endpoint, timeoutMs);
			return connected.map(connection => {
				const run = connection.run.bind(connection);
				connection.run = async (command, runTimeoutMs) => command.kind === 'execute' && command.argument === unsendable && connection.isOpen
					? ok({
						rows: [], error: {code: 'too-large', text: 'not sent'}, transaction: 'idle', isUnsent: true,
					})
					: run(command, runTimeoutMs);
				return connection;
			});
		};
	}

	open(): Session {
		this.#catalog.onConfiguration(configuration);
		return new Session('holds', {
			...this.#context, catalog: this.#catalog, executorOf: () => this.#executor, memory: createSessionMemory().memory,
		});
	}
}

async function timeUntilFailing(isClientSending: boolean): Promise<{failingAfterMs: number; unsentCount: number; latencyMs: number}> {
	const fixture = await new UnsentFixture().start();
	const session = fixture.open();
	const send = async (statement: ClientStatement) => fixture.advanceUntilSettled(session.handle(statement));
	await send({
		kind: 'prepare', id: 'p', name: 's1', access: 'write', shape: 'q',
	});
	await send({
		kind: 'execute', id: 'e0', name: 's1', argument: 'x 1',
	});
	const member = fixture.group.members.get('p')!;
	fixture.primary.isReachable = false;
	const startedMs = fixture.timers.nowMs();
	let unsentCount = 0;
	while (member.failingForMs(fixture.timers.nowMs()) === 0 && fixture.timers.nowMs() - startedMs < 10_000) {
		if (isClientSending) {
			const {outcome} = await send({
				kind: 'execute', id: 'e', name: 's1', argument: unsendable,
			});
			unsentCount += outcome.kind === 'error' && outcome.code === 'too-large' ? 1 : 0;
		}

		await fixture.advance(10);
	}

	return {failingAfterMs: fixture.timers.nowMs() - startedMs, unsentCount, latencyMs: member.latencyMs};
}

// Guards against an instance that is frozen and counts as answering, because statements that cannot be sent to it are
// refused by this host and recorded as its answers.
test('a statement that is refused before it is sent is no sign of life of the instance', async t => {
	const usual = await timeUntilFailing(false);
	const disturbed = await timeUntilFailing(true);
	t.comment(JSON.stringify({usual, disturbed}));
	t.ok(disturbed.unsentCount > 0);
	t.ok(disturbed.failingAfterMs <= usual.failingAfterMs + 20, `noticed after ${disturbed.failingAfterMs} ms, usually ${usual.failingAfterMs} ms`);
});
