import {type RequestKeyValue, type SessionAnswer, type StatementRequest} from '../definitions.js';
import {Transaction} from '../domain/transaction.js';
import {type GroupMember} from './group-member.js';
import {refused, type StatementExecutor} from './statement-executor.js';

/** State of one connection: its open transaction, if any. The caller awaits each method before the next. */
export class Session {
	#transaction: Transaction | undefined;
	#isClosed = false;

	constructor(private readonly member: GroupMember, private readonly executor: StatementExecutor) {}

	async execute(request: StatementRequest): Promise<SessionAnswer> {
		const statement = this.executor.prepare(request);
		if ('code' in statement) {
			return refused(statement);
		}

		const isClosed = () => this.#isClosed;
		if (this.#transaction) {
			return this.#executeIn(this.#transaction, statement, isClosed);
		}

		return statement.writes ? this.executor.write(statement, isClosed) : this.executor.read(statement, isClosed);
	}

	begin(term: number): SessionAnswer {
		const refusal = this.member.refusalOf(term);
		if (refusal) {
			return refused(refusal);
		}

		if (this.#transaction) {
			return refused({code: 'transaction-open', message: 'Commit or roll back the open transaction first.'});
		}

		this.#transaction = new Transaction(term, this.member.applied.index, this.member.tables);
		return this.#done(term);
	}

	async commit(requestKey: RequestKeyValue | undefined): Promise<SessionAnswer> {
		const transaction = this.#transaction;
		this.#transaction = undefined;
		return transaction
			? this.executor.commit(transaction, requestKey)
			: refused({code: 'no-transaction', message: 'No transaction is open; begin one first.'});
	}

	/** Drops the open transaction, if any. */
	rollback(): SessionAnswer {
		this.#transaction = undefined;
		return this.#done(this.member.status.verifiedTerm);
	}

	/** Rolls back; statements that still wait for a slot do not run. */
	close(): void {
		this.#isClosed = true;
		this.#transaction = undefined;
	}

	async #executeIn(
		transaction: Transaction,
		statement: Parameters<StatementExecutor['runIn']>[1],
		isClosed: () => boolean,
	): Promise<SessionAnswer> {
		if (statement.request.requestKey) {
			return refused({code: 'request-key-in-transaction', message: 'Send the request key with the commit.'});
		}

		const answer = await this.executor.runIn(transaction, statement, isClosed);
		if (answer.kind === 'refused') {
			this.#transaction = undefined;
		}

		return answer;
	}

	#done(verifiedTerm: number): SessionAnswer {
		return {
			kind: 'completed', answer: {rows: []}, position: this.member.applied, verifiedTerm, repeated: false, serviceUs: 0,
		};
	}
}
