import {ManualTimerService} from '@dogwoodthread/coordination';
import {ok} from 'neverthrow';
import {test} from 'tap';
import {
	type Executor, type FleetHost, type ForwardReply, type ForwardRequest, ForwardService, HolderLink, type Operation, type PeerLink, createProgress, RemoteExecutor,
	SessionState, statementFailure, type StatementResult,
} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

/** Two ends of a link in memory; `isMute` drops what it sends, `isHeld` keeps it back until `release`. */
class MemoryLink<Sent, Received> implements PeerLink<Sent, Received> {
	isOpen = true;
	isMute = false;
	isHeld = false;
	peer!: MemoryLink<Received, Sent>;
	readonly #messages: Array<(message: Received) => void> = [];
	readonly #closes: Array<() => void> = [];
	readonly #held: Sent[] = [];
	/** Messages that arrived before anybody listened. */
	readonly #early: Received[] = [];

	send(message: Sent): void {
		if (this.isHeld) {
			this.#held.push(structuredClone(message));
		} else if (this.isOpen && !this.isMute) {
			this.peer.deliver(structuredClone(message));
		}
	}

	/** Delivers what was kept back, although the link may be closed by now. */
	release(): void {
		this.isHeld = false;
		for (const message of this.#held.splice(0)) {
			this.peer.deliver(message);
		}
	}

	abandon(): void {
		this.shut();
	}

	close(): void {
		for (const end of [this, this.peer]) {
			end.shut();
		}
	}

	onMessage(callback: (message: Received) => void): void {
		this.#messages.push(callback);
		for (const message of this.#early.splice(0)) {
			callback(message);
		}
	}

	onClose(callback: () => void): void {
		this.#closes.push(callback);
	}

	deliver(message: Received): void {
		if (this.#messages.length === 0) {
			this.#early.push(message);
		}

		for (const callback of this.#messages) {
			callback(message);
		}
	}

	shut(): void {
		if (this.isOpen) {
			this.isOpen = false;
			for (const callback of this.#closes) {
				callback();
			}
		}
	}
}

type Holder = {
	host: FleetHost;
	service: ForwardService;
	isHolder: boolean;
	isReachable: boolean;
	ran: string[];
	links: Array<MemoryLink<ForwardReply, ForwardRequest>>;
	epoch: number;
	answer: () => Promise<StatementResult>;
};

const done = async (): Promise<StatementResult> => ok({
	rows: ['row'], signature: 'sig', transaction: 'idle', position: {term: 1, index: 5},
});
const never = async (): Promise<StatementResult> => new Promise(() => {/* The holder never answers. */});

function createHolder(timers: ManualTimerService, name: string): Holder {
	const holder: Partial<Holder> & Pick<Holder, 'ran' | 'links'> = {
		isHolder: true, isReachable: true, ran: [], links: [], epoch: 0, answer: done, host: {
			hostId: name, address: name, failureDomain: name, startedAtMs: 0,
		},
	};
	const executor: Executor = {
		async runSingle(statement) {
			holder.ran.push(statement.command.kind);
			return holder.answer!();
		},
		begin: ({id}) => ({
			state: 'open',
			async run(statement) {
				holder.ran.push(`${id}/${statement.command.kind}`);
				return holder.answer!();
			},
			async commit() {
				holder.ran.push(`${id}/commit`);
				return holder.answer!();
			},
			abort() {
				holder.ran.push(`${id}/abort`);
			},
			expire() {/* Not used here. */},
		}),
		logFields: () => ({}),
	};
	holder.service = new ForwardService({
		timers, events: new MemoryEventLog(), clock: {epoch: () => holder.epoch!}, transactionIdleMs: () => 3000, executorOf: () => holder.isHolder ? executor : undefined,
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
		nextTransaction() {
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
const described = (result: StatementResult) => result.match(({signature}) => signature, ({code}) => code);

// Guards against a session that misses its own write when another holder serves its next read.
test('a forwarded write moves the session', async t => {
	const {remote, operation, session} = createFleet();
	t.equal(described(await remote.runSingle(write, true, operation())), 'sig');
	t.same(session.lastCommitPosition, {term: 1, index: 5});
});

// Guards against a write that runs twice because its holder died.
test('a write whose holder is lost is in doubt and goes nowhere else; a read goes to the next holder', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.answer = never;
	const written = remote.runSingle(write, true, operation());
	holders[0]!.links[0]!.close();
	t.equal(described(await written), 'in-doubt');
	t.same(holders[1]!.ran, []);
	timers.advance(3000);
	const answered = remote.runSingle(read, false, operation());
	holders[0]!.links[1]!.close();
	t.equal(described(await answered), 'sig');
	t.same(holders[1]!.ran, ['read']);
});

// Guards against a link that fell silent for good while new ones work.
test('a silent link is given up after 1 s', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.answer = never;
	const answered = remote.runSingle(read, false, operation());
	holders[0]!.links[0]!.isMute = true;
	await timers.advanceAsync(1500, 100);
	t.equal(described(await answered), 'sig');
});

// Guards against work for a host that is stopping.
test('a holder that leaves gets no new statements', async t => {
	const {remote, operation, holders} = createFleet();
	await remote.runSingle(read, false, operation());
	holders[0]!.service.leave();
	await remote.runSingle(read, false, operation());
	t.same([holders[0]!.ran, holders[1]!.ran], [['read'], ['read']]);
});

// Guards against a refusal by one holder without connections while another has some.
test('a refusal for want of a connection is tried at the next holder', async t => {
	const {remote, operation, holders} = createFleet();
	const {err} = await import('neverthrow');
	holders[0]!.answer = async () => err(statementFailure('no-connection'));
	t.equal(described(await remote.runSingle(write, true, operation())), 'sig');
});

// Guards against a transaction that stays open at the holder when the host of its client dies.
test('a link that ends rolls back; the client hears that nothing is kept', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	holders[0]!.answer = never;
	const second = transaction.run(write, true, operation());
	holders[0]!.links[0]!.close();
	t.equal(described(await second), 'aborted');
	t.same(holders[0]!.ran, ['t1/write', 't1/write', 't1/abort']);
	t.equal(transaction.state, 'failed');
});

// Guards against a commit that may have taken effect and is reported as undone.
test('a commit whose holder is lost is in doubt', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	holders[0]!.answer = never;
	const commit = transaction.commit(operation());
	holders[0]!.links[0]!.close();
	t.equal(described(await commit), 'in-doubt');
});

// Guards against a statement in the transaction of another client: two services forwarded over one link used the
// same numbers (PINNED and ROUTE on every day of kiambu-nets-grown).
test('transactions of two services over one link stay apart', async t => {
	const fleet = createFleet();
	const other = fleet.createRemote('desk');
	const [first, second] = [fleet.remote, other].map(remote => remote.begin({
		id: remote === other ? 't2' : 't1', readOnly: false, session: new SessionState(), beganAtMs: 0,
	}));
	await first!.run(write, true, fleet.operation());
	await second!.run(write, true, fleet.operation());
	await second!.commit(fleet.operation());
	t.same(fleet.holders[0]!.ran, ['t1/write', 't2/write', 't2/commit']);
});

// Guards against a transaction that goes on over a new link, at the holder as another one (connections reset on
// kiambu-nets-grown, day trouble-1: PINNED).
for (const next of ['statement', 'commit'] as const) {
	test(`a link that was lost between two statements ends the transaction: ${next}`, async t => {
		const {remote, operation, holders, session} = createFleet();
		const transaction = remote.begin({
			id: 't1', readOnly: false, session, beganAtMs: 0,
		});
		await transaction.run(write, true, operation());
		holders[0]!.links[0]!.close();
		t.equal(described(next === 'commit' ? await transaction.commit(operation()) : await transaction.run(write, true, operation())), 'aborted');
		t.same(holders[0]!.ran, ['t1/write', 't1/abort']);
		t.same(holders[1]!.ran, []);
	});
}

// Guards against a statement that runs after its client has been answered: a partition kept it back for 12 s, and the
// holder ran it in a transaction that its client had ended (kiambu-nets-grown, day trouble-3: PINNED).
for (const kind of ['statement', 'commit', 'single'] as const) {
	test(`what a partition kept back does not run any more: ${kind}`, async t => {
		const {remote, operation, holders, session, timers} = createFleet();
		const transaction = remote.begin({
			id: 't1', readOnly: false, session, beganAtMs: 0,
		});
		await transaction.run(write, true, operation());
		const [far] = holders[0]!.links;
		far!.peer.isHeld = true;
		const send = {
			statement: async () => transaction.run(write, true, operation()),
			commit: async () => transaction.commit(operation()),
			single: async () => remote.runSingle(write, true, operation()),
		}[kind];
		const answered = send();
		await timers.advanceAsync(1500, 100);
		t.equal(described(await answered), kind === 'statement' ? 'aborted' : 'in-doubt');
		far!.peer.release();
		t.same(holders[0]!.ran, ['t1/write']);
	});
}

// Guards against statements that a holder finds when it wakes after its clock stood still.
test('a holder that was suspended runs no statement from before', async t => {
	const {remote, operation, holders} = createFleet();
	await remote.runSingle(read, false, operation());
	const [far] = holders[0]!.links;
	far!.peer.isHeld = true;
	const answered = remote.runSingle(read, false, operation());
	holders[0]!.epoch += 1;
	far!.peer.release();
	t.equal(described(await answered), 'sig', 'it is sent again with the new time');
	t.same(holders[0]!.ran, ['read', 'read']);
});

// Guards against transactions that hold a connection and locks for a host that cannot be heard any more.
test('a holder ends a transaction that rests for too long, and begins none in its place', async t => {
	const {remote, operation, holders, session, timers} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	await timers.advanceAsync(6000, 100);
	t.same(holders[0]!.ran, ['t1/write', 't1/abort']);
	t.equal(described(await transaction.run(write, true, operation())), 'aborted');
	t.same(holders[0]!.ran, ['t1/write', 't1/abort']);
});

// Guards against transactions that fail because the fleet grew and their holder holds no connections any more.
test('a holder that loses its role finishes the transactions that it has', async t => {
	const {remote, operation, holders, session} = createFleet();
	const transaction = remote.begin({
		id: 't1', readOnly: false, session, beganAtMs: 0,
	});
	await transaction.run(write, true, operation());
	holders[0]!.isHolder = false;
	t.equal(described(await transaction.run(write, true, operation())), 'sig');
	t.equal(described(await transaction.commit(operation())), 'sig');
	await remote.runSingle(read, false, operation());
	t.same([holders[0]!.ran, holders[1]!.ran], [['t1/write', 't1/write', 't1/commit'], ['read']]);
});

// Guards against writes in doubt at every holder that is down: nothing reached it, so another one may run them.
test('a write to a holder that cannot be reached goes to the next one', async t => {
	const {remote, operation, holders, timers} = createFleet();
	holders[0]!.isReachable = false;
	const written = remote.runSingle(write, true, operation());
	await timers.advanceAsync(700, 100);
	t.equal(described(await written), 'sig');
	t.same([holders[0]!.ran, holders[1]!.ran], [[], ['write']]);
});
