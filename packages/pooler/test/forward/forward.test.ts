import {ManualTimerService} from '@dogwoodthread/coordination';
import {ok} from 'neverthrow';
import {test} from 'tap';
import {
	type FleetHost, type ForwardReply, type ForwardRequest, ForwardService, HolderLink, type LocalReach, type Operation, type PeerLink, createProgress, RemoteExecutor,
	type SessionMemoryBudget, SessionState, statementFailure, type StatementResult,
} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';
import {createSessionMemory} from '../fixtures/session-memory.js';

/** One end of an in-memory link. `isDroppingSends` drops sent messages; `isDelayingSends` keeps them until `releaseDelayed`. */
class MemoryLink<Sent, Received> implements PeerLink<Sent, Received> {
	isOpen = true;
	isDroppingSends = false;
	isDelayingSends = false;
	peer!: MemoryLink<Received, Sent>;
	readonly #messageCallbacks: Array<(message: Received) => void> = [];
	readonly #closeCallbacks: Array<() => void> = [];
	readonly #delayedMessages: Sent[] = [];
	/** Messages that arrived before the first message callback was registered. */
	readonly #undeliveredMessages: Received[] = [];

	send(message: Sent): void {
		if (this.isDelayingSends) {
			this.#delayedMessages.push(structuredClone(message));
		} else if (this.isOpen && !this.isDroppingSends) {
			this.peer.deliver(structuredClone(message));
		}
	}

	/** Delivers the delayed messages, even if the link has been closed in the meantime. */
	releaseDelayed(): void {
		this.isDelayingSends = false;
		for (const message of this.#delayedMessages.splice(0)) {
			this.peer.deliver(message);
		}
	}

	reset(): void {
		this.closeThisEnd();
	}

	close(): void {
		for (const end of [this, this.peer]) {
			end.closeThisEnd();
		}
	}

	onMessage(callback: (message: Received) => void): void {
		this.#messageCallbacks.push(callback);
		for (const message of this.#undeliveredMessages.splice(0)) {
			callback(message);
		}
	}

	onClose(callback: () => void): void {
		this.#closeCallbacks.push(callback);
	}

	deliver(message: Received): void {
		if (this.#messageCallbacks.length === 0) {
			this.#undeliveredMessages.push(message);
		}

		for (const callback of this.#messageCallbacks) {
			callback(message);
		}
	}

	closeThisEnd(): void {
		if (this.isOpen) {
			this.isOpen = false;
			for (const callback of this.#closeCallbacks) {
				callback();
			}
		}
	}
}

type Holder = {
	host: FleetHost;
	service: ForwardService;
	memory: SessionMemoryBudget;
	isHolder: boolean;
	isReachable: boolean;
	/** Whether the holder reaches the endpoints. */
	canServe: boolean;
	executedCommands: string[];
	links: Array<MemoryLink<ForwardReply, ForwardRequest>>;
	epoch: number;
	answer: () => Promise<StatementResult>;
};

const answerAtOnce = async (): Promise<StatementResult> => ok({
	rows: ['row'], signature: 'sig', transaction: 'idle', position: {term: 1, index: 5},
});
const neverAnswer = async (): Promise<StatementResult> => new Promise(() => {/* The holder never answers. */});

function createHolder(timers: ManualTimerService, name: string): Holder {
	const holder: Partial<Holder> & Pick<Holder, 'executedCommands' | 'links' | 'memory'> = {
		memory: createSessionMemory().memory,
		isHolder: true, isReachable: true, canServe: true, executedCommands: [], links: [], epoch: 0, answer: answerAtOnce, host: {
			hostId: name, address: name, failureDomain: name, startedAtMs: 0,
		},
	};
	const executor: LocalReach = {
		canServe: () => holder.canServe!,
		async runSingle(statement) {
			holder.executedCommands.push(statement.command.kind);
			return holder.answer!();
		},
		begin: ({id}) => ({
			state: 'open',
			async run(statement) {
				holder.executedCommands.push(`${id}/${statement.command.kind}`);
				return holder.answer!();
			},
			async commit() {
				holder.executedCommands.push(`${id}/commit`);
				return holder.answer!();
			},
			abort() {
				holder.executedCommands.push(`${id}/abort`);
			},
			expire() {/* Not used here. */},
		}),
		logFields: () => ({}),
	};
	holder.service = new ForwardService({
		timers,
		events: new MemoryEventLog(),
		clock: {epoch: () => holder.epoch!},
		transactionIdleMs: () => 3000,
		executorOf: () => holder.isHolder ? executor : undefined,
		memory: holder.memory,
	});
	return holder as Holder;
}

function createFleet() {
	const timers = new ManualTimerService();
	const holders = [createHolder(timers, 'a'), createHolder(timers, 'b')];
	const links = new Map(holders.map(holder => [holder.host.hostId, new HolderLink({
		address: holder.host.address,
		timers,
		connector: {
			connect() {
				const near = new MemoryLink<ForwardRequest, ForwardReply>();
				const far = new MemoryLink<ForwardReply, ForwardRequest>();
				near.peer = far;
				far.peer = near;
				holder.links.push(far);
				if (holder.isReachable) {
					holder.service.accept(far);
				}

				return near;
			},
		},
	})]));
	const session = new SessionState();
	let transactions = 0;
	const createRemote = (service: string) => new RemoteExecutor({
		nextTransactionNumber() {
			transactions += 1;
			return transactions;
		},
		service, timers, random: () => 0, failureDomain: 'a', holders: () => holders.map(({host}) => host), linkTo: ({hostId}) => links.get(hostId)!,
	});
	const operation = (): Operation => ({
		id: 'q', session, arrivedAtMs: timers.nowMs(), deadlineMs: timers.nowMs() + 3000, progress: createProgress(),
		route: {
			database: 'd', service: 'ledger', consistency: 'primary', statementTimeoutMs: 3000, latencyObjectiveMs: 200, priority: 1, maxStalenessMs: 0,
		},
	});
	return {
		timers, holders, session, remote: createRemote('ledger'), createRemote, operation,
	};
}

const read = {command: {kind: 'read' as const, id: 'q', text: 'READ x'}, prepared: undefined};
const write = {command: {kind: 'write' as const, id: 'q', text: 'WRITE x 1'}, prepared: undefined};
const signatureOrCode = (result: StatementResult) => result.match(({signature}) => signature, ({code}) => code);

// Guards against a session that does not see its own write when another holder serves its next read.
test('a forwarded write advances the commit position of the session', async t => {
	const {remote, operation, session} = createFleet();
	t.equal(signatureOrCode(await remote.runSingle(write, true, operation())), 'sig');
	t.same(session.lastCommitPosition, {term: 1, index: 5});
});

// Guards against a write that runs twice after its holder failed.
test('after the holder is lost a write is in doubt and is not retried, and a read is retried at the next holder', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.answer = neverAnswer;
	const written = remote.runSingle(write, true, operation());
	holders[0]!.links[0]!.close();
	t.equal(signatureOrCode(await written), 'in-doubt');
	t.same(holders[1]!.executedCommands, []);
	timers.advance(3000);
	const answered = remote.runSingle(read, false, operation());
	holders[0]!.links[1]!.close();
	t.equal(signatureOrCode(await answered), 'sig');
	t.same(holders[1]!.executedCommands, ['read']);
});

// Guards against using a connection that no longer delivers messages although a new connection would work.
test('a link without messages for 1 s is reset', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.answer = neverAnswer;
	const answered = remote.runSingle(read, false, operation());
	holders[0]!.links[0]!.isDroppingSends = true;
	await timers.advanceAsync(1500, 100);
	t.equal(signatureOrCode(await answered), 'sig');
});

// Guards against new statements for a host that is shutting down.
test('a holder that announced its shutdown gets no new statements', async t => {
	const {remote, operation, holders} = createFleet();
	await remote.runSingle(read, false, operation());
	holders[0]!.service.announceLeaving();
	await remote.runSingle(read, false, operation());
	t.same([holders[0]!.executedCommands, holders[1]!.executedCommands], [['read'], ['read']]);
});

// Guards against failing a statement because one holder has no connection while another one has.
test('a statement refused with no-connection is retried at the next holder', async t => {
	const {remote, operation, holders} = createFleet();
	const {err} = await import('neverthrow');
	holders[0]!.answer = async () => err(statementFailure('no-connection'));
	t.equal(signatureOrCode(await remote.runSingle(write, true, operation())), 'sig');
});

// Guards against a transaction that stays open at the holder after the client's host failed.
test('closing the link rolls the transaction back and reports it as aborted', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	holders[0]!.answer = neverAnswer;
	const second = transaction.run(write, true, operation());
	holders[0]!.links[0]!.close();
	t.equal(signatureOrCode(await second), 'aborted');
	t.same(holders[0]!.executedCommands, ['t1/write', 't1/write', 't1/abort']);
	t.equal(transaction.state, 'failed');
});

// Guards against reporting a commit as rolled back although it may have taken effect.
test('a commit whose holder is lost is in doubt', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	holders[0]!.answer = neverAnswer;
	const commit = transaction.commit(operation());
	holders[0]!.links[0]!.close();
	t.equal(signatureOrCode(await commit), 'in-doubt');
});

// Guards against a statement that runs in the transaction of another client: transactions of two services that share a
// link had the same number (PINNED and ROUTE violations on every day of kiambu-nets-grown).
test('transactions of two services on one link are kept apart', async t => {
	const fleet = createFleet();
	const other = fleet.createRemote('desk');
	const [first, second] = [fleet.remote, other].map(remote => remote.begin({
		id: remote === other ? 't2' : 't1', readOnly: false, session: new SessionState(), beganAtMs: 0,
	}));
	await first!.run(write, true, fleet.operation());
	await second!.run(write, true, fleet.operation());
	await second!.commit(fleet.operation());
	t.same(fleet.holders[0]!.executedCommands, ['t1/write', 't2/write', 't2/commit']);
});

// Guards against a transaction that continues on a new connection, where the holder begins another transaction for it
// (PINNED violations after connection resets on kiambu-nets-grown, day trouble-1).
for (const next of ['statement', 'commit'] as const) {
	test(`a connection lost between two statements ends the transaction: ${next}`, async t => {
		const {remote, operation, holders, session} = createFleet();
		const transaction = remote.begin({
			id: 't1', readOnly: false, session, beganAtMs: 0,
		});
		await transaction.run(write, true, operation());
		holders[0]!.links[0]!.close();
		t.equal(signatureOrCode(next === 'commit' ? await transaction.commit(operation()) : await transaction.run(write, true, operation())), 'aborted');
		t.same(holders[0]!.executedCommands, ['t1/write', 't1/abort']);
		t.same(holders[1]!.executedCommands, []);
	});
}

// Guards against a statement that runs after its client has been answered: a partition delayed it for 12 s, and the
// holder ran it in a transaction that the client had already ended (PINNED violation on kiambu-nets-grown, day trouble-3).
for (const kind of ['statement', 'commit', 'single'] as const) {
	test(`a request delayed by a partition is not run: ${kind}`, async t => {
		const {remote, operation, holders, session, timers} = createFleet();
		const transaction = remote.begin({
			id: 't1', readOnly: false, session, beganAtMs: 0,
		});
		await transaction.run(write, true, operation());
		const [far] = holders[0]!.links;
		far!.peer.isDelayingSends = true;
		const send = {
			statement: async () => transaction.run(write, true, operation()),
			commit: async () => transaction.commit(operation()),
			single: async () => remote.runSingle(write, true, operation()),
		}[kind];
		const answered = send();
		await timers.advanceAsync(1500, 100);
		t.equal(signatureOrCode(await answered), kind === 'statement' ? 'aborted' : 'in-doubt');
		far!.peer.releaseDelayed();
		t.same(holders[0]!.executedCommands, ['t1/write']);
	});
}

// Guards against running stale statements that a holder receives after a suspension during which its clock stood still.
test('a holder that was suspended does not run statements sent before', async t => {
	const {remote, operation, holders} = createFleet();
	await remote.runSingle(read, false, operation());
	const [far] = holders[0]!.links;
	far!.peer.isDelayingSends = true;
	const answered = remote.runSingle(read, false, operation());
	holders[0]!.epoch += 1;
	far!.peer.releaseDelayed();
	t.equal(signatureOrCode(await answered), 'sig', 'the statement is sent again with a new clock reading');
	t.same(holders[0]!.executedCommands, ['read', 'read']);
});

// Guards against transactions that occupy a connection and locks for a host that is unreachable.
test('a holder aborts a transaction that is idle too long, and a later statement does not begin a new one', async t => {
	const {remote, operation, holders, session, timers} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	await timers.advanceAsync(6000, 100);
	t.same(holders[0]!.executedCommands, ['t1/write', 't1/abort']);
	t.equal(signatureOrCode(await transaction.run(write, true, operation())), 'aborted');
	t.same(holders[0]!.executedCommands, ['t1/write', 't1/abort']);
});

// Guards against failing transactions whose host stops being a holder because the fleet grew.
test('a host that is no longer a holder finishes its open transactions', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	holders[0]!.isHolder = false;
	t.equal(signatureOrCode(await transaction.run(write, true, operation())), 'sig');
	t.equal(signatureOrCode(await transaction.commit(operation())), 'sig');
	await remote.runSingle(read, false, operation());
	t.same([holders[0]!.executedCommands, holders[1]!.executedCommands], [['t1/write', 't1/write', 't1/commit'], ['read']]);
});

// Guards against reporting writes as in doubt when their holder is down: nothing was sent, so another holder may run them.
test('a write to an unreachable holder is retried at the next one', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.isReachable = false;
	const written = remote.runSingle(write, true, operation());
	await timers.advanceAsync(700, 100);
	t.equal(signatureOrCode(await written), 'sig');
	t.same([holders[0]!.executedCommands, holders[1]!.executedCommands], [[], ['write']]);
});

// Guards against a client that is told that its write may have run, although it was never sent.
test('a write that no holder was reached for is refused as not run', async t => {
	const {remote, operation, holders, timers} = createFleet();
	for (const holder of holders) {
		holder.isReachable = false;
	}

	const written = remote.runSingle(write, true, operation());
	await timers.advanceAsync(3000, 100);
	t.equal(signatureOrCode(await written), 'busy');
	t.same(holders.map(({executedCommands}) => executedCommands), [[], []]);
});

// Guards against statements that wait at a holder which does not reach the endpoints while another one does, and against
// asking that holder first again and again.
test('a holder that does not reach the endpoints is passed over, and tried again later', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.canServe = false;
	t.equal(signatureOrCode(await remote.runSingle(write, true, operation())), 'sig');
	t.equal(holders[0]!.links.length, 1);
	const asked = () => holders[0]!.executedCommands.length;
	holders[0]!.canServe = true;
	await remote.runSingle(write, true, operation());
	t.equal(asked(), 0, 'its refusal is remembered');
	timers.advance(600);
	await remote.runSingle(write, true, operation());
	t.equal(asked(), 1, 'its refusal is forgotten');
});

// Guards against a failover during which every holder refuses, although one of them could wait for its end.
test('if no holder reaches the endpoints, the last one that is asked waits for them', async t => {
	const {remote, operation, holders} = createFleet();
	for (const holder of holders) {
		holder.canServe = false;
	}

	t.equal(signatureOrCode(await remote.runSingle(write, true, operation())), 'sig');
	t.same(holders.map(({executedCommands}) => executedCommands), [[], ['write']]);
});

// Guards against a transaction that fails because it met a holder which does not reach the primary.
test('a transaction begins at a holder that reaches the endpoints', async t => {
	const {remote, operation, holders, session} = createFleet();
	holders[0]!.canServe = false;
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	t.equal(signatureOrCode(await transaction.run(write, true, operation())), 'sig');
	t.equal(signatureOrCode(await transaction.commit(operation())), 'sig');
	t.same(holders.map(({executedCommands}) => executedCommands), [[], ['t1/write', 't1/commit']]);
});

// Guards against a transaction that keeps a connection and its locks at the holder until it has been idle for seconds,
// after its commit was refused there.
test('a transaction whose commit the holder refused as late is rolled back there', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	const [far] = holders[0]!.links;
	far!.peer.isDelayingSends = true;
	const commit = transaction.commit(operation());
	// Each arrival finds a new epoch of the holder's clock, so the second sending is refused as well.
	Object.defineProperty(holders[0], 'epoch', {get: () => Math.random()});
	far!.peer.releaseDelayed();
	t.equal(signatureOrCode(await commit), 'busy');
	t.same(holders[0]!.executedCommands, ['t1/write', 't1/abort']);
});

/** Leaves no memory to the sessions of a holder. */
const fillMemory = ({memory}: Holder): void => {
	while (memory.open({owner: 'filler'}).reserve(8000, 'q').isOk()) {
		// Each account takes its part.
	}
};

const withValues = (request: Operation, bytes: number): Operation => {
	request.session.values.set('tz', 'x'.repeat(bytes));
	return request;
};

// Guards against session state from other hosts that fills the memory of a holder, and against a refusal that is not true.
test('a holder without memory for the session state refuses a statement as not run, and another holder runs it', async t => {
	const {remote, operation, holders} = createFleet();
	fillMemory(holders[0]!);
	t.equal(signatureOrCode(await remote.runSingle(write, true, withValues(operation(), 100_000))), 'sig');
	t.same(holders.map(({executedCommands}) => executedCommands), [[], ['write']]);
	fillMemory(holders[1]!);
	const refused = await remote.runSingle(write, true, operation());
	t.match(refused._unsafeUnwrapErr(), {code: 'busy', reason: 'process-memory', text: /this statement has not run; retry after 500 ms/});
	t.same(holders.map(({executedCommands}) => executedCommands), [[], ['write']]);
	const prepared = {access: 'read' as const, shape: 'x'.repeat(100_000), sharedName: 'r'};
	const large = {
		command: {
			kind: 'execute' as const, id: 'q', name: 'r', argument: '7a',
		}, prepared,
	};
	operation().session.values.clear();
	t.equal(signatureOrCode(await remote.runSingle(large, false, operation())), 'busy', 'the prepared statement counts as well');
	t.equal(signatureOrCode(await remote.runSingle(write, true, operation())), 'sig', 'a statement without session state is run');
});

// Guards against a transaction that goes on at a holder without the session values that its client has set meanwhile.
test('a transaction whose session state a holder has no memory for is rolled back', async t => {
	const {remote, operation, holders, timers} = createFleet();
	const begin = () => remote.begin({
		id: 'b', readOnly: false, session: operation().session, beganAtMs: timers.nowMs(),
	});
	for (const end of ['run', 'commit'] as const) {
		const transaction = begin();
		const request = operation();
		request.session.values.clear();
		t.equal(signatureOrCode(await transaction.run(write, true, request)), 'sig');
		const holder = holders.find(({executedCommands}) => executedCommands.length > 0);
		fillMemory(holder!);
		withValues(request, 100_000);
		const result = end === 'run' ? await transaction.run(write, true, request) : await transaction.commit(request);
		t.equal(signatureOrCode(result), 'busy');
		await timers.advanceAsync(10, 10);
		t.same(holder!.executedCommands.splice(0), ['b/write', 'b/abort']);
	}
});

// Guards against a holder whose counter does not return to zero after the statements of other hosts have ended.
test('a holder releases the session state when the statement, transaction or link ends', async t => {
	const {remote, operation, holders, session, timers} = createFleet();
	const heldBytes = () => holders.reduce((sum, {memory}) => sum + memory.heldBytes, 0);
	withValues(operation(), 1000);
	const begin = async () => {
		const transaction = remote.begin({
			id: 'b', readOnly: false, session, beganAtMs: timers.nowMs(),
		});
		await transaction.run(write, true, operation());
		return transaction;
	};

	await remote.runSingle(write, true, operation());
	t.equal(heldBytes(), 0, 'after a statement');
	const committed = await begin();
	t.ok(heldBytes() > 1000);
	await committed.commit(operation());
	t.equal(heldBytes(), 0, 'after a commit');
	const aborted = await begin();
	aborted.abort();
	await timers.advanceAsync(10, 10);
	t.equal(heldBytes(), 0, 'after an abort');
	await begin();
	for (const link of holders.flatMap(({links}) => links)) {
		link.close();
	}

	await timers.advanceAsync(10, 10);
	t.equal(heldBytes(), 0, 'after the end of the link');
	for (const holder of holders) {
		holder.answer = async () => {
			throw new Error('unexpected');
		};
	}

	const failing = remote.runSingle(write, true, operation());
	await timers.advanceAsync(5000, 100);
	await failing;
	t.equal(heldBytes(), 0, 'after an unexpected error');
});
