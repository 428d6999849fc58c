import {type TimerService} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type EventLog} from '../observability/index.js';
import {
	type Executor, createProgress, type Operation, SessionState, statementFailure, type StatementFailure, type StatementResult, type TransactionHandle,
} from '../session/index.js';
import {
	type ClockReading, type ForwardedStatement, type ForwardReply, type ForwardRequest, type PeerLink,
} from './definitions.js';

export type ForwardServiceOptions = {
	timers: TimerService;
	events: EventLog;
	/** Grows when the clock of `timers` has stood still. */
	clock: {epoch(): number};
	/** Time that a transaction may rest between two statements, in ms. */
	transactionIdleMs: () => number;
	/** Runs statements over this host's own connections. */
	executorOf: (service: string) => Executor | undefined;
};

type OpenTransaction = {handle: TransactionHandle; session: SessionState; lastUsedMs: number; isBusy: boolean};
type StatementRequest = Exclude<ForwardRequest, {kind: 'ping' | 'abort'}>;
type Link = PeerLink<ForwardReply, ForwardRequest>;

/**
 * A request that took longer to arrive is refused, in ms. The host that sent it gives the link up after a silence of
 * 1,000 ms and answers its client; a statement that ran after that would be outside its transaction.
 */
const maxTransitMs = 500;
/** The host of the client ends a transaction that rests; if it cannot tell this host, it ends here this much later, in ms. */
const idleSlackMs = 2000;
const idleCheckMs = 500;

/** Runs statements for clients of other hosts. One task for each link; a link that ends rolls back what it had open. */
export class ForwardService {
	readonly #links = new Set<Link>();

	constructor(private readonly options: ForwardServiceOptions) {}

	accept(link: Link): void {
		const transactions = new Map<number, OpenTransaction>();
		this.#links.add(link);
		link.send({kind: 'clock', clock: this.#reading});
		const idleCheck = this.options.timers.every(idleCheckMs, () => {
			this.#endResting(transactions);
		});
		link.onMessage(request => {
			void this.#handle(link, request, transactions);
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

	/** Tells the other hosts to use other holders. */
	leave(): void {
		for (const link of this.#links) {
			link.send({kind: 'leaving'});
		}
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}
	}

	async #handle(link: Link, request: ForwardRequest, transactions: Map<number, OpenTransaction>): Promise<void> {
		if (request.kind === 'ping') {
			link.send({kind: 'clock', clock: this.#reading});
			return;
		}

		if (request.kind === 'abort') {
			transactions.get(request.transaction)?.handle.abort();
			transactions.delete(request.transaction);
			return;
		}

		const result = this.#isLate(request) ? err(statementFailure('arrived-late')) : await this.#run(request, transactions);
		if (result.isErr()) {
			this.#report(request.statement, result.error);
		}

		link.send(result.match<ForwardReply>(
			answer => ({
				kind: 'answer', clock: this.#reading, call: request.call, answer,
			}),
			failure => ({
				kind: 'answer', clock: this.#reading, call: request.call, failure,
			}),
		));
	}

	get #reading(): ClockReading {
		const {timers, clock} = this.options;
		return {timeMs: timers.nowMs(), epoch: clock.epoch()};
	}

	#isLate({sentAt}: StatementRequest): boolean {
		const {timeMs, epoch} = this.#reading;
		return epoch !== sentAt.epoch || timeMs - sentAt.timeMs > maxTransitMs;
	}

	/** Ends transactions whose host cannot be heard any more. */
	#endResting(transactions: Map<number, OpenTransaction>): void {
		const limitMs = this.options.timers.nowMs() - this.options.transactionIdleMs() - idleSlackMs;
		for (const [number, {handle, lastUsedMs, isBusy}] of transactions) {
			if (!isBusy && lastUsedMs < limitMs) {
				transactions.delete(number);
				handle.abort();
			}
		}
	}

	#report({requestId, service, consistency, leftMs}: ForwardedStatement, {code, reason}: StatementFailure): void {
		this.options.events.write('forwarded-request-failed', {
			requestId, service, consistency, code, reason, leftMs: Math.round(leftMs), ...this.options.executorOf(service)?.logFields(),
		});
	}

	async #run(request: StatementRequest, transactions: Map<number, OpenTransaction>): Promise<StatementResult> {
		if (request.kind === 'single') {
			return this.#runSingle(request);
		}

		const {statement} = request;
		// A transaction goes on here although this host may no longer hold connections to the service.
		const known = transactions.get(request.transaction);
		if (!known && !request.isFirst) {
			return err(statementFailure('transaction-failed'));
		}

		const open = known ?? this.#begin(request);
		if (!open) {
			return err(statementFailure('no-connection'));
		}

		transactions.set(request.transaction, open);
		for (const [name, value] of statement.values) {
			open.session.values.set(name, value);
		}

		const operation = this.#operation(request, open.session);
		if (request.kind === 'commit') {
			transactions.delete(request.transaction);
			return open.handle.commit(operation);
		}

		open.isBusy = true;
		const result = await open.handle.run({command: request.command, prepared: request.prepared}, request.isWrite, operation);
		open.isBusy = false;
		open.lastUsedMs = this.options.timers.nowMs();
		return result;
	}

	async #runSingle(request: Extract<ForwardRequest, {kind: 'single'}>): Promise<StatementResult> {
		const {
			statement, command, prepared, isWrite,
		} = request;
		const executor = this.options.executorOf(statement.service);
		return executor
			? executor.runSingle({command, prepared}, isWrite, this.#operation(request, sessionOf(statement)))
			: err(statementFailure('no-connection'));
	}

	#begin({begin, statement}: Extract<ForwardRequest, {kind: 'transaction' | 'commit'}>): OpenTransaction | undefined {
		const executor = this.options.executorOf(statement.service);
		if (!executor) {
			return undefined;
		}

		const session = sessionOf(statement);
		const handle = executor.begin({
			id: begin.id, readOnly: begin.readOnly, session, beganAtMs: this.options.timers.nowMs(),
		});
		return {
			handle, session, lastUsedMs: this.options.timers.nowMs(), isBusy: false,
		};
	}

	#operation({statement, sentAt}: StatementRequest, session: SessionState): Operation {
		const nowMs = this.options.timers.nowMs();
		return {
			id: statement.requestId,
			session,
			arrivedAtMs: nowMs,
			deadlineMs: sentAt.timeMs + statement.leftMs,
			progress: createProgress(),
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

function sessionOf({values, committed}: ForwardedStatement): SessionState {
	const session = new SessionState();
	for (const [name, value] of values) {
		session.values.set(name, value);
	}

	session.recordCommit(committed);
	return session;
}
