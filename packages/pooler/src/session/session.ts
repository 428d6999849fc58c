import {type Result} from 'neverthrow';
import {type Catalog, type Route} from '../catalog/index.js';
import {type ClientAnswer, type ClientStatement, type TransactionState} from '../statement/index.js';
import {copyText, type SessionMemoryBudget} from '../session-memory/index.js';
import {BoundedSessionState} from './bounded-session-state.js';
import {statementFailure, type StatementFailure} from './errors.js';
import {createProgress, type Operation, type OperationContext} from './operation.js';
import {type Executor, type StatementResult, type TransactionHandle} from './executor.js';
import {type SingleStatement} from './single-statement.js';
import {StatementLog} from './statement-log.js';
import {TransactionIds} from './transaction-ids.js';

export type SessionContext = OperationContext & {
	catalog: Catalog;
	executorOf: (service: string) => Executor | undefined;
	/** Limits what the session keeps. */
	memory: SessionMemoryBudget;
	/** Ends the connection of the session if its client is idle outside a transaction, and returns whether it did. */
	endIfIdle?: () => boolean;
};

type Executable = Extract<ClientStatement, {kind: 'read' | 'write' | 'execute'}>;

const noSignature = '-';

/** One client session: its session values, prepared statements and transaction. Statements are handled one at a time. */
export class Session {
	readonly database: string;
	readonly #bounded: BoundedSessionState;
	#transaction: TransactionHandle | undefined;
	#transactionRoute: Route | undefined;
	/** Executor that began the transaction; it runs all its statements even if the configuration changes meanwhile. */
	#transactionExecutor: Executor | undefined;
	#expiryReason: 'idle-in-transaction' | 'shutting-down' | undefined;
	#isBusy = false;
	/** Ids of the statements of the open transaction; those of a failed one stay until the next statement that is run. */
	#transactionIds: TransactionIds | undefined;
	/** Memory that is reserved for the ids of the open transaction. */
	#transactionBytes = 0;
	/** Answers the statement that is being handled, without waiting for it. */
	#answerEarly: ((answer: ClientAnswer) => void) | undefined;
	/** Whether the statement that is being handled may commit a write. */
	#mayCommit = false;
	readonly #log: StatementLog;

	constructor(database: string, private readonly context: SessionContext) {
		this.database = copyText(database);
		this.#bounded = new BoundedSessionState(context.memory.open({owner: this.database, endIfIdle: context.endIfIdle}));
		this.#log = new StatementLog({...context, database: this.database});
	}

	get transactionState(): TransactionState {
		if (!this.#transaction) {
			return 'idle';
		}

		return this.#transaction.state === 'failed' ? 'failed' : 'open';
	}

	async handle(statement: ClientStatement): Promise<ClientAnswer> {
		this.#isBusy = true;
		const earlyAnswer = new Promise<ClientAnswer>(resolve => {
			this.#answerEarly = resolve;
		});
		try {
			return await Promise.race([this.#handle(statement), earlyAnswer]);
		} finally {
			this.#isBusy = false;
			this.#answerEarly = undefined;
		}
	}

	/**
	 * Answers the statement that is being handled at once, because the host stops: a write or commit is in doubt, and
	 * nothing is kept of others. The session must be closed after that, which rolls back an open transaction.
	 */
	interrupt(): void {
		this.#answerEarly?.(this.#errorAnswer(statementFailure(this.#mayCommit ? 'interrupted' : 'shutting-down')));
	}

	/** Answers a statement that is not run any more, because the host stops. */
	refuse(statement: ClientStatement): ClientAnswer {
		return this.#reject(statement, statementFailure('shutting-down'));
	}

	/**
	 * Rolls back an open transaction while the client is idle. The client is told in the answer to its next statement,
	 * because it expects no message before that.
	 */
	expireTransaction(reason: 'idle-in-transaction' | 'shutting-down'): void {
		if (this.#transaction?.state === 'open' && !this.#isBusy) {
			this.#transaction.expire();
			this.#expiryReason = reason;
		}
	}

	/** Called when the client's connection has ended; rolls back an open transaction and releases the session's memory. */
	close(): void {
		this.#endTransaction();
		this.#bounded.close();
	}

	async #handle(statement: ClientStatement): Promise<ClientAnswer> {
		const expiryReason = this.#expiryReason;
		this.#expiryReason = undefined;
		if (expiryReason && statement.kind !== 'rollback') {
			if (statement.kind === 'commit') {
				this.#endTransaction();
			}

			return this.#reject(statement, statementFailure(expiryReason));
		}

		if (this.transactionState === 'failed' && statement.kind !== 'rollback' && statement.kind !== 'commit') {
			return this.#reject(statement, statementFailure('malformed'), 'the transaction has failed; roll it back first');
		}

		switch (statement.kind) {
			case 'begin': {
				return this.#begin(statement);
			}

			case 'commit': {
				return this.#commit(statement);
			}

			case 'rollback': {
				return this.#rollback(statement);
			}

			case 'read':
			case 'write':
			case 'execute': {
				return this.#execute(statement);
			}

			case 'set': {
				return this.#answerKept(statement, this.#bounded.setValue(statement.name, statement.value, statement.id));
			}

			case 'prepare': {
				return this.#answerKept(statement, this.#bounded.prepare(statement, statement.id));
			}

			case 'deallocate': {
				this.#bounded.deallocate(statement.name);
				return this.#doneAnswer();
			}

			case 'malformed': {
				return this.#reject(statement, statementFailure('malformed'), statement.reason);
			}
		}
	}

	#begin(statement: Extract<ClientStatement, {kind: 'begin'}>): ClientAnswer {
		if (this.#transaction) {
			return this.#reject(statement, statementFailure('malformed'), 'a transaction is open already');
		}

		const route = this.context.catalog.route(this.database);
		if (!route) {
			return this.#reject(statement, statementFailure('unknown-database'));
		}

		const executor = this.context.executorOf(route.service);
		if (!executor) {
			return this.#reject(statement, statementFailure('unknown-service'));
		}

		// The executor keeps the id until the transaction begins at an endpoint.
		const transactionBytes = statement.id.length + TransactionIds.maxBytes;
		const reserved = this.#bounded.reserve(transactionBytes, statement.id);
		if (reserved.isErr()) {
			return this.#reject(statement, reserved.error);
		}

		this.#transactionBytes = transactionBytes;
		this.#transactionRoute = route;
		this.#transactionExecutor = executor;
		this.#transaction = executor.begin({
			id: copyText(statement.id), readOnly: statement.readOnly, session: this.#bounded.state, beganAtMs: this.context.timers.nowMs(),
		});
		this.#transactionIds = new TransactionIds();
		this.#transactionIds.add(statement.id);
		return this.#doneAnswer();
	}

	async #commit(statement: Extract<ClientStatement, {kind: 'commit'}>): Promise<ClientAnswer> {
		this.#mayCommit = true;
		const transaction = this.#transaction;
		if (!transaction) {
			return this.#reject(statement, statementFailure('no-transaction'));
		}

		if (transaction.state === 'failed') {
			this.#endTransaction();
			return this.#reject(statement, statementFailure('transaction-failed'));
		}

		const executor = this.#transactionExecutor!;
		const operation = this.#createOperation(statement.id, this.#transactionRoute!);
		const result = await transaction.commit(operation);
		this.#endTransaction();
		const answer = this.#finishOperation(operation, result, 'commit', executor);
		this.#transactionIds = undefined;
		return answer;
	}

	#rollback(statement: Extract<ClientStatement, {kind: 'rollback'}>): ClientAnswer {
		if (!this.#transaction) {
			return this.#reject(statement, statementFailure('no-transaction'));
		}

		this.#endTransaction();
		this.#transactionIds = undefined;
		return this.#doneAnswer();
	}

	async #execute(statement: Executable): Promise<ClientAnswer> {
		const prepared = statement.kind === 'execute' ? this.#bounded.state.prepared.get(statement.name) : undefined;
		if (statement.kind === 'execute' && !prepared) {
			return this.#reject(statement, statementFailure('unknown-statement'));
		}

		const route = this.#transactionRoute ?? this.context.catalog.route(this.database);
		if (!route) {
			return this.#reject(statement, statementFailure('unknown-database'));
		}

		const executor = this.#transactionExecutor ?? this.context.executorOf(route.service);
		if (!executor) {
			return this.#reject(statement, statementFailure('unknown-service'));
		}

		if (this.#transaction) {
			this.#transactionIds?.add(statement.id);
		} else {
			this.#transactionIds = undefined;
		}

		const operation = this.#createOperation(statement.id, route);
		const single: SingleStatement = {
			prepared,
			command: statement.kind === 'execute'
				? {
					kind: 'execute', id: statement.id, name: prepared!.sharedName, argument: statement.argument,
				}
				: statement,
		};
		const isWrite = statement.kind === 'write' || prepared?.access === 'write';
		this.#mayCommit = isWrite && !this.#transaction;
		const result = this.#transaction
			? await this.#transaction.run(single, isWrite, operation)
			: await executor.runSingle(single, isWrite, operation);
		return this.#finishOperation(operation, result, isWrite ? 'write' : 'read', executor);
	}

	#createOperation(id: string, route: Route): Operation {
		const nowMs = this.context.timers.nowMs();
		return {
			id, route, session: this.#bounded.state, arrivedAtMs: nowMs, deadlineMs: nowMs + route.statementTimeoutMs, progress: createProgress(),
		};
	}

	#endTransaction(): void {
		this.#transaction?.abort();
		this.#transaction = undefined;
		this.#transactionRoute = undefined;
		this.#transactionExecutor = undefined;
		this.#bounded.release(this.#transactionBytes);
		this.#transactionBytes = 0;
	}

	#finishOperation(operation: Operation, result: StatementResult, statementKind: string, executor: Executor): ClientAnswer {
		this.#log.recordOutcome({
			operation, result, statementKind, executor, transactionIds: this.#transactionIds?.list ?? [],
		});
		if (result.isErr()) {
			return this.#errorAnswer(result.error);
		}

		return {
			rows: result.value.rows,
			outcome: {kind: 'done', signature: result.value.signature ?? noSignature},
			transaction: this.transactionState,
		};
	}

	/** Refuses a statement that was not passed to an executor, or whose transaction cannot continue. */
	#reject(statement: ClientStatement, failure: StatementFailure, detail = failure.text): ClientAnswer {
		this.#log.recordRejection(statement, failure, detail, this.#transaction && this.#transactionIds?.list);
		return this.#errorAnswer(failure, detail);
	}

	#answerKept(statement: ClientStatement, kept: Result<void, StatementFailure>): ClientAnswer {
		return kept.isErr() ? this.#reject(statement, kept.error) : this.#doneAnswer();
	}

	#doneAnswer(): ClientAnswer {
		return {rows: [], outcome: {kind: 'done', signature: noSignature}, transaction: this.transactionState};
	}

	#errorAnswer({code, text}: StatementFailure, detail = text): ClientAnswer {
		return {rows: [], outcome: {kind: 'error', code, text: detail}, transaction: this.transactionState};
	}
}
