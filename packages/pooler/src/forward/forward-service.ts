import {type TimerService} from '@dogwoodthread/coordination';
import {err, ok, Result} from 'neverthrow';
import {type EventLog, guardTask} from '../observability/index.js';
import {
	BoundedSessionState, createPreparedStatement, createProgress, type Operation, preparedBytes, type SessionState, type SingleStatement, statementFailure,
	type StatementFailure, type StatementResult, type TransactionHandle,
} from '../session/index.js';
import {type SessionMemoryBudget} from '../session-memory/index.js';
import {type LocalReach} from './fallback-executor.js';
import {
	type ClockReading, type ForwardedStatement, type ForwardReply, type ForwardRequest, type PeerLink,
} from './definitions.js';

export type ForwardServiceOptions = {
	timers: TimerService;
	events: EventLog;
	/** The epoch increases after the clock of `timers` stopped, for example while the host was suspended. */
	clock: {epoch(): number};
	/** Maximum idle time of a transaction between two statements, in ms. */
	transactionIdleMs: () => number;
	/** Executor that uses this host's own connections to the service; `undefined` if the host holds none. */
	executorOf: (service: string) => LocalReach | undefined;
	/** Counts the session state that arrives with statements, for as long as this host needs it. */
	memory: SessionMemoryBudget;
};

type OpenTransaction = {handle: TransactionHandle; session: BoundedSessionState; lastUsedAtMs: number; isBusy: boolean};
type StatementRequest = Exclude<ForwardRequest, {kind: 'ping' | 'abort'}>;
type Link = PeerLink<ForwardReply, ForwardRequest>;

/**
 * Requests that took longer than this to arrive are rejected. The sending host closes the link after 1,000 ms without
 * a message and answers its client; a statement that ran after that would run outside its transaction.
 */
const maxTransitTimeMs = 500;
/**
 * Normally the client's host ends an idle transaction. If it cannot reach this host, the transaction is aborted here,
 * this long after the idle limit.
 */
const remoteIdleMarginMs = 2000;
const idleCheckIntervalMs = 500;

/** Runs statements for clients of other hosts. When a link closes, its open transactions are rolled back. */
export class ForwardService {
	readonly #links = new Set<Link>();

	constructor(private readonly options: ForwardServiceOptions) {}

	accept(link: Link): void {
		const transactions = new Map<number, OpenTransaction>();
		this.#links.add(link);
		link.send({kind: 'clock', clock: this.#clockReading});
		const idleCheck = this.options.timers.every(idleCheckIntervalMs, () => {
			this.#abortIdleTransactions(transactions);
		});
		link.onMessage(request => {
			void guardTask('forwarded-request', this.options.events, async () => {
				await this.#handleRequest(link, request, transactions);
			});
		});
		link.onClose(() => {
			this.#links.delete(link);
			idleCheck.cancel();
			for (const open of transactions.values()) {
				endTransaction(open);
			}

			transactions.clear();
		});
	}

	/** Tells the connected hosts to send new requests to other holders. */
	announceLeaving(): void {
		for (const link of this.#links) {
			link.send({kind: 'leaving'});
		}
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}
	}

	async #handleRequest(link: Link, request: ForwardRequest, transactions: Map<number, OpenTransaction>): Promise<void> {
		if (request.kind === 'ping') {
			link.send({kind: 'clock', clock: this.#clockReading});
			return;
		}

		if (request.kind === 'abort') {
			endTransaction(transactions.get(request.transaction));
			transactions.delete(request.transaction);
			return;
		}

		const result = this.#hasArrivedLate(request) ? err(statementFailure('arrived-late')) : await this.#run(request, transactions);
		if (result.isErr()) {
			this.#logFailure(request.statement, result.error);
		}

		link.send(result.match<ForwardReply>(
			answer => ({
				kind: 'answer', clock: this.#clockReading, call: request.call, answer,
			}),
			failure => ({
				kind: 'answer', clock: this.#clockReading, call: request.call, failure,
			}),
		));
	}

	get #clockReading(): ClockReading {
		const {timers, clock} = this.options;
		return {timeMs: timers.nowMs(), epoch: clock.epoch()};
	}

	#hasArrivedLate({sentAt}: StatementRequest): boolean {
		const {timeMs, epoch} = this.#clockReading;
		return epoch !== sentAt.epoch || timeMs - sentAt.timeMs > maxTransitTimeMs;
	}

	/** Aborts transactions that stayed idle too long because their host no longer reaches this one. */
	#abortIdleTransactions(transactions: Map<number, OpenTransaction>): void {
		const abortBeforeMs = this.options.timers.nowMs() - this.options.transactionIdleMs() - remoteIdleMarginMs;
		for (const [transactionNumber, open] of transactions) {
			if (!open.isBusy && open.lastUsedAtMs < abortBeforeMs) {
				transactions.delete(transactionNumber);
				endTransaction(open);
			}
		}
	}

	#logFailure({requestId, service, consistency, leftMs}: ForwardedStatement, {code, reason}: StatementFailure): void {
		this.options.events.write('forwarded-request-failed', {
			requestId, service, consistency, code, reason, leftMs: Math.round(leftMs), ...this.options.executorOf(service)?.logFields(),
		});
	}

	async #run(request: StatementRequest, transactions: Map<number, OpenTransaction>): Promise<StatementResult> {
		if (request.kind === 'single') {
			return this.#runSingle(request);
		}

		const {statement} = request;
		// A transaction that began here continues here, even if this host is no longer a holder of the service.
		const existing = transactions.get(request.transaction);
		if (!existing && !request.isFirst) {
			return err(statementFailure('transaction-failed'));
		}

		if (!existing && !this.#canServe(request, !request.begin.readOnly)) {
			return err(statementFailure('not-reachable'));
		}

		const begun = existing ? ok(existing) : this.#beginTransaction(request);
		if (begun.isErr()) {
			return err(begun.error);
		}

		// After a refusal the client's host aborts the transaction.
		const open = begun.value;
		transactions.set(request.transaction, open);
		const kept = keepValues(open.session, statement);
		if (kept.isErr()) {
			return err(kept.error);
		}

		const operation = this.#createOperation(request, open.session.state);
		if (request.kind === 'transaction') {
			return runWithPrepared(open.session, request, async () => {
				open.isBusy = true;
				const result = await open.handle.run(toSingleStatement(request), request.isWrite, operation);
				open.isBusy = false;
				open.lastUsedAtMs = this.options.timers.nowMs();
				return result;
			});
		}

		transactions.delete(request.transaction);
		try {
			return await open.handle.commit(operation);
		} finally {
			open.session.close();
		}
	}

	async #runSingle(request: Extract<ForwardRequest, {kind: 'single'}>): Promise<StatementResult> {
		const {statement, isWrite} = request;
		const executor = this.options.executorOf(statement.service);
		if (!this.#canServe(request, isWrite)) {
			return err(statementFailure('not-reachable'));
		}

		if (!executor) {
			return err(statementFailure('no-connection'));
		}

		const session = this.#openSession(statement);
		try {
			const kept = keepValues(session, statement);
			return kept.isErr()
				? err(kept.error)
				: await runWithPrepared(session, request, async () => executor.runSingle(toSingleStatement(request), isWrite, this.#createOperation(request, session.state)));
		} finally {
			session.close();
		}
	}

	/** Whether this host reaches what the statement needs; true if it may wait for that. */
	#canServe({statement: {service, consistency, mayWait = true}}: StatementRequest, isWrite: boolean): boolean {
		return mayWait || (this.options.executorOf(service)?.canServe(isWrite || consistency === 'primary') ?? true);
	}

	#beginTransaction({begin, statement}: Extract<ForwardRequest, {kind: 'transaction' | 'commit'}>): Result<OpenTransaction, StatementFailure> {
		const executor = this.options.executorOf(statement.service);
		if (!executor) {
			return err(statementFailure('no-connection'));
		}

		const session = this.#openSession(statement);
		return session.reserve(begin.id.length, statement.requestId).map(() => {
			const handle = executor.begin({
				id: begin.id, readOnly: begin.readOnly, session: session.state, beganAtMs: this.options.timers.nowMs(),
			});
			return {
				handle, session, lastUsedAtMs: this.options.timers.nowMs(), isBusy: false,
			};
		});
	}

	#openSession({service, committed}: ForwardedStatement): BoundedSessionState {
		const session = new BoundedSessionState(this.options.memory.open({owner: service}));
		session.state.recordCommit(committed);
		return session;
	}

	#createOperation({statement, sentAt}: StatementRequest, session: SessionState): Operation {
		const nowMs = this.options.timers.nowMs();
		return {
			id: statement.requestId,
			session,
			arrivedAtMs: nowMs,
			deadlineMs: sentAt.timeMs + statement.leftMs,
			progress: createProgress(),
			mayMove: statement.mayWait === false,
			route: {
				database: '',
				service: statement.service,
				consistency: statement.consistency,
				statementTimeoutMs: statement.leftMs,
				latencyObjectiveMs: statement.latencyObjectiveMs,
				priority: statement.priority,
				maxStalenessMs: statement.maxStalenessMs,
			},
		};
	}
}

/** The statement under this host's own name for it: a host of an earlier version may name it by its shape. */
function toSingleStatement({command, prepared}: Pick<Extract<ForwardRequest, {kind: 'single'}>, 'command' | 'prepared'>): SingleStatement {
	if (command.kind !== 'execute' || !prepared) {
		return {command, prepared: undefined};
	}

	const statement = createPreparedStatement(prepared.access, prepared.shape);
	return {command: {...command, name: statement.sharedName}, prepared: statement};
}

function endTransaction(open: OpenTransaction | undefined): void {
	open?.handle.abort();
	open?.session.close();
}

/** Keeps the session values of the client, up to the limits of this host. */
function keepValues(session: BoundedSessionState, {values, requestId}: ForwardedStatement): Result<void, StatementFailure> {
	return Result.combine(values.map(([name, value]) => session.setValue(name, value, requestId))).map(() => undefined);
}

/** Counts the prepared statement while it runs. */
async function runWithPrepared(
	session: BoundedSessionState,
	{prepared, statement}: {prepared?: SingleStatement['prepared']; statement: ForwardedStatement},
	run: () => Promise<StatementResult>,
): Promise<StatementResult> {
	const bytes = prepared ? preparedBytes('', prepared) : 0;
	const reserved = session.reserve(bytes, statement.requestId);
	if (reserved.isErr()) {
		return err(reserved.error);
	}

	try {
		return await run();
	} finally {
		session.release(bytes);
	}
}
