import {type TimerService} from '@dogwoodthread/coordination';
import {z} from 'zod';
import {
	type CompletedAnswer, type Position, type Refusal, type RequestKeyValue, type SessionAnswer, type StatementAnswer,
	type StatementRequest,
} from '../definitions.js';
import {type BoundStatement, findStatement, type StatementName} from '../domain/statements.js';
import {fingerprintOf, Transaction} from '../domain/transaction.js';
import {type Faults} from './faults.js';
import {type GroupMember} from './group-member.js';
import {KeyLocks} from './key-locks.js';
import {type SlotPool} from './slot-pool.js';

export type StatementExecutorOptions = {
	member: GroupMember;
	slots: SlotPool;
	faults: Faults;
	timers: TimerService;
	/** Time that each statement holds a slot, in ms. */
	serviceMs: Record<StatementName, number>;
};

/** A statement that was checked and can run. */
export type PreparedStatement = {
	request: StatementRequest;
	/** Name and parameters, for fingerprints. */
	text: string;
	writes: boolean;
	serviceMs: number;
	run: BoundStatement;
};

/** Whether the connection of a request is closed; its waiting statements are then dropped. */
export type IsClosed = () => boolean;

export const refused = (refusal: Refusal): SessionAnswer => ({kind: 'refused', ...refusal});

const droppedAnswer = refused({code: 'connection-closed', message: 'The connection was closed before the statement ran.'});

/** Runs the statements of all sessions, at most as many at a time as there are slots. */
export class StatementExecutor {
	readonly #keyLocks = new KeyLocks();

	constructor(private readonly options: StatementExecutorOptions) {}

	/** Checks name, parameters and access of a statement. */
	prepare(request: StatementRequest): PreparedStatement | Refusal {
		const statement = findStatement(request.name);
		if (!statement) {
			return {code: 'unknown-statement', message: `No statement ${request.name}; correct the name.`};
		}

		if (statement.writes && !request.mayWrite) {
			return {code: 'read-only', message: `${request.name} changes data; send it with write access.`};
		}

		try {
			return {
				request,
				text: `${request.name} ${request.parametersJson}`,
				writes: statement.writes,
				serviceMs: this.options.serviceMs[statement.name],
				run: statement.bind(JSON.parse(request.parametersJson)),
			};
		} catch (error) {
			const reason = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
			return {code: 'bad-parameters', message: `Parameters of ${request.name}: ${reason}`};
		}
	}

	/** Runs a statement that does not write, on the rows applied when it gets its slot. */
	async read(statement: PreparedStatement, isClosed: IsClosed): Promise<SessionAnswer> {
		const {member} = this.options;
		return this.#withSlot(statement.serviceMs, isClosed, () => {
			const {term} = statement.request;
			const refusal = term === 0 ? undefined : member.refusalOf(term);
			if (refusal) {
				return () => refused(refusal);
			}

			const {answer} = statement.run(member.tables);
			const position = member.applied;
			const {verifiedTerm} = member.status;
			return serviceUs => completed({
				answer, position, verifiedTerm, serviceUs,
			});
		});
	}

	/** Runs a statement that writes, as a transaction of its own. */
	async write(statement: PreparedStatement, isClosed: IsClosed): Promise<SessionAnswer> {
		const {term, requestKey} = statement.request;
		return this.#once(term, requestKey, fingerprintOf([statement.text]), async () => {
			const {member} = this.options;
			return this.#withSlot(statement.serviceMs, isClosed, () => {
				const refusal = member.refusalOf(term);
				return serviceUs => {
					if (refusal) {
						return refused(refusal);
					}

					const transaction = new Transaction(term, member.applied.index, member.tables);
					const {answer} = transaction.run(statement.run, statement.text);
					return this.#commit(transaction, answer, requestKey, serviceUs);
				};
			});
		});
	}

	/** Runs a statement of an open transaction; its changes stay in the transaction. */
	async runIn(transaction: Transaction, statement: PreparedStatement, isClosed: IsClosed): Promise<SessionAnswer> {
		const {member} = this.options;
		return this.#withSlot(statement.serviceMs, isClosed, () => serviceUs => {
			const refusal = member.refusalOf(transaction.term);
			if (refusal) {
				return refused(refusal);
			}

			const {answer} = transaction.run(statement.run, statement.text);
			return completed({
				answer, position: member.applied, verifiedTerm: transaction.term, serviceUs,
			});
		});
	}

	async commit(transaction: Transaction, requestKey: RequestKeyValue | undefined): Promise<SessionAnswer> {
		return this.#once(transaction.term, requestKey, transaction.fingerprint, async () => {
			await this.options.faults.untilThawed();
			const {member} = this.options;
			if (transaction.conflicts() && !member.refusalOf(transaction.term)) {
				const statementError = {
					code: 'serialization-failure', message: 'Another transaction changed a row first; run the transaction again.',
				};
				return completed({
					answer: {rows: [], statementError}, position: member.applied, verifiedTerm: transaction.term, serviceUs: 0,
				});
			}

			return this.#commit(transaction, {rows: []}, requestKey, 0);
		});
	}

	/** Gives the recorded answer of a request key, or runs the request once. */
	async #once(
		term: number,
		requestKey: RequestKeyValue | undefined,
		fingerprint: string,
		run: () => Promise<SessionAnswer>,
	): Promise<SessionAnswer> {
		const {member, timers} = this.options;
		const refusal = member.refusalOf(term);
		if (refusal) {
			return refused(refusal);
		}

		if (!requestKey) {
			return run();
		}

		return this.#keyLocks.run(requestKey.key, async () => {
			const found = member.keys.lookUp(requestKey, fingerprint, timers.wallClockMs());
			if (!found) {
				return run();
			}

			// The wait for an earlier execution may have outlasted the term.
			const lateRefusal = member.refusalOf(term);
			if (lateRefusal) {
				return refused(lateRefusal);
			}

			if ('refusal' in found) {
				return refused(found.refusal);
			}

			const {answer, position} = found.record;
			return {
				...completed({
					answer, position, verifiedTerm: term, serviceUs: 0,
				}), repeated: true,
			};
		});
	}

	/** Appends the changes and the request key in one entry. The member checks the term in the same step. */
	#commit(transaction: Transaction, answer: StatementAnswer, requestKey: RequestKeyValue | undefined, serviceUs: number): SessionAnswer {
		const {member, timers} = this.options;
		const {term, changes, fingerprint} = transaction;
		const result: Position | Refusal = changes.length === 0 && !requestKey
			? member.refusalOf(term) ?? member.applied
			: member.commit(term, {
				changes,
				...(requestKey && {
					requestKey: {
						...requestKey, fingerprint, answer, recordedUnixMs: timers.wallClockMs(),
					},
				}),
			});
		return 'code' in result
			? refused(result)
			: completed({
				answer, position: result, verifiedTerm: term, serviceUs,
			});
	}

	/** Waits for a slot, calls `start`, holds the slot for the service time and calls what `start` gave. */
	async #withSlot(serviceMs: number, isClosed: IsClosed, start: () => (serviceUs: number) => SessionAnswer): Promise<SessionAnswer> {
		const {slots, timers, faults} = this.options;
		await slots.acquire();
		try {
			await faults.untilThawed();
			if (isClosed()) {
				return droppedAnswer;
			}

			const startedMs = timers.nowMs();
			const finish = start();
			await (serviceMs > 0 && timers.sleep(serviceMs));
			await faults.untilThawed();
			return finish(Math.round((timers.nowMs() - startedMs) * 1000));
		} finally {
			slots.release();
		}
	}
}

const completed = (answer: Omit<CompletedAnswer, 'kind' | 'repeated'>): CompletedAnswer => ({kind: 'completed', repeated: false, ...answer});
