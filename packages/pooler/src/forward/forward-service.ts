import {type TimerService} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type EventLog, guardTask} from '../observability/index.js';
import {
	createPreparedStatement, createProgress, type Operation, SessionState, type SingleStatement, statementFailure, type StatementFailure, type StatementResult, type TransactionHandle,
} from '../session/index.js';
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
};

type OpenTransaction = {handle: TransactionHandle; session: SessionState; lastUsedAtMs: number; isBusy: boolean};
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
			for (const {handle} of transactions.values()) {
				handle.abort();
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
			transactions.get(request.transaction)?.handle.abort();
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
		for (const [transactionNumber, {handle, lastUsedAtMs, isBusy}] of transactions) {
			if (!isBusy && lastUsedAtMs < abortBeforeMs) {
				transactions.delete(transactionNumber);
				handle.abort();
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

		const open = existing ?? this.#beginTransaction(request);
		if (!open) {
			return err(statementFailure('no-connection'));
		}

		transactions.set(request.transaction, open);
		for (const [name, value] of statement.values) {
			open.session.values.set(name, value);
		}

		const operation = this.#createOperation(request, open.session);
		if (request.kind === 'commit') {
			transactions.delete(request.transaction);
			return open.handle.commit(operation);
		}

		open.isBusy = true;
		const result = await open.handle.run(toSingleStatement(request), request.isWrite, operation);
		open.isBusy = false;
		open.lastUsedAtMs = this.options.timers.nowMs();
		return result;
	}

	async #runSingle(request: Extract<ForwardRequest, {kind: 'single'}>): Promise<StatementResult> {
		const {statement, isWrite} = request;
		const executor = this.options.executorOf(statement.service);
		if (!this.#canServe(request, isWrite)) {
			return err(statementFailure('not-reachable'));
		}

		return executor
			? executor.runSingle(toSingleStatement(request), isWrite, this.#createOperation(request, createSession(statement)))
			: err(statementFailure('no-connection'));
	}

	/** Whether this host reaches what the statement needs; true if it may wait for that. */
	#canServe({statement: {service, consistency, mayWait = true}}: StatementRequest, isWrite: boolean): boolean {
		return mayWait || (this.options.executorOf(service)?.canServe(isWrite || consistency === 'primary') ?? true);
	}

	#beginTransaction({begin, statement}: Extract<ForwardRequest, {kind: 'transaction' | 'commit'}>): OpenTransaction | undefined {
		const executor = this.options.executorOf(statement.service);
		if (!executor) {
			return undefined;
		}

		const session = createSession(statement);
		const handle = executor.begin({
			id: begin.id, readOnly: begin.readOnly, session, beganAtMs: this.options.timers.nowMs(),
		});
		return {
			handle, session, lastUsedAtMs: this.options.timers.nowMs(), isBusy: false,
		};
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

function createSession({values, committed}: ForwardedStatement): SessionState {
	const session = new SessionState();
	for (const [name, value] of values) {
		session.values.set(name, value);
	}

	session.recordCommit(committed);
	return session;
}
