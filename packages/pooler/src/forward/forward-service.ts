import {type TimerService} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type EventLog} from '../observability/index.js';
import {
	type Executor, type Operation, SessionState, statementFailure, type StatementFailure, type StatementResult, type TransactionHandle,
} from '../session/index.js';
import {
	type ForwardedStatement, type ForwardReply, type ForwardRequest, type PeerLink,
} from './definitions.js';

export type ForwardServiceOptions = {
	timers: TimerService;
	events: EventLog;
	/** Runs statements over this host's own connections. */
	executorOf: (service: string) => Executor | undefined;
};

type OpenTransaction = {handle: TransactionHandle; session: SessionState};
type Link = PeerLink<ForwardReply, ForwardRequest>;

/** Runs statements for clients of other hosts. One task for each link; a link that ends rolls back what it had open. */
export class ForwardService {
	readonly #links = new Set<Link>();

	constructor(private readonly options: ForwardServiceOptions) {}

	accept(link: Link): void {
		const transactions = new Map<number, OpenTransaction>();
		this.#links.add(link);
		link.onMessage(request => {
			void this.#handle(link, request, transactions);
		});
		link.onClose(() => {
			this.#links.delete(link);
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
			link.send({kind: 'pong'});
			return;
		}

		if (request.kind === 'abort') {
			transactions.get(request.transaction)?.handle.abort();
			transactions.delete(request.transaction);
			return;
		}

		const result = await this.#run(request, transactions);
		if (result.isErr()) {
			this.#report(request.statement, result.error);
		}

		link.send(result.match<ForwardReply>(
			answer => ({kind: 'answer', call: request.call, answer}),
			failure => ({kind: 'answer', call: request.call, failure}),
		));
	}

	#report({requestId, service, consistency, leftMs}: ForwardedStatement, {code, reason}: StatementFailure): void {
		this.options.events.write('forwarded-request-failed', {
			requestId, service, consistency, code, reason, leftMs: Math.round(leftMs), ...this.options.executorOf(service)?.describe(),
		});
	}

	async #run(request: Exclude<ForwardRequest, {kind: 'ping' | 'abort'}>, transactions: Map<number, OpenTransaction>): Promise<StatementResult> {
		if (request.kind === 'single') {
			return this.#runSingle(request);
		}

		const {statement} = request;
		// A transaction goes on here although this host may no longer hold connections to the service.
		const open = transactions.get(request.transaction) ?? this.#begin(request);
		if (!open) {
			return err(statementFailure('no-connection'));
		}

		transactions.set(request.transaction, open);
		for (const [name, value] of statement.values) {
			open.session.values.set(name, value);
		}

		const operation = this.#operation(statement, open.session);
		if (request.kind === 'commit') {
			transactions.delete(request.transaction);
			return open.handle.commit(operation);
		}

		return open.handle.run({command: request.command, prepared: request.prepared}, request.isWrite, operation);
	}

	async #runSingle({statement, command, prepared, isWrite}: Extract<ForwardRequest, {kind: 'single'}>): Promise<StatementResult> {
		const executor = this.options.executorOf(statement.service);
		return executor
			? executor.runSingle({command, prepared}, isWrite, this.#operation(statement, sessionOf(statement)))
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
		return {handle, session};
	}

	#operation(statement: ForwardedStatement, session: SessionState): Operation {
		const nowMs = this.options.timers.nowMs();
		return {
			id: statement.requestId,
			session,
			arrivedAtMs: nowMs,
			deadlineMs: nowMs + statement.leftMs,
			attempts: 0,
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

	session.noteCommit(committed);
	return session;
}
