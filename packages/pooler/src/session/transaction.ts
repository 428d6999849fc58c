import {err, ok, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type Group} from '../group/index.js';
import {endpointFailure, statementFailure, type StatementFailure} from './errors.js';
import {
	acquireLeader, acquireReader, discard, type HeldConnection, type LocalOperation, type Operation, type OperationContext, requiredPosition, runCommitOn, runOn,
} from './operation.js';
import {type TransactionHandle} from './executor.js';
import {prepareConnection} from './prepare-connection.js';
import {rollBack, type SingleStatement} from './single-statement.js';
import {type SessionState} from './session-state.js';

/** Pause before a statement that the endpoint refused as busy is sent again on the same connection, in ms. */
const busyPauseMs = 20;

export type TransactionOptions = {
	/** Id of the `BEGIN`. */
	id: string;
	readOnly: boolean;
	session: SessionState;
	context: OperationContext;
	/** Monotonic time of the `BEGIN`. */
	beganAtMs: number;
	group: Group;
};

/**
 * A client's transaction. It takes a connection with its first statement, so that a client that rests after
 * `BEGIN` holds none, and keeps it to the end.
 */
export class Transaction implements TransactionHandle {
	#held: HeldConnection | undefined;
	#state: 'open' | 'failed' | 'ended' = 'open';
	#hasWritten = false;

	constructor(private readonly options: TransactionOptions) {}

	get state(): 'open' | 'failed' | 'ended' {
		return this.#state;
	}

	get member(): string {
		return this.#held?.member.id ?? 'none';
	}

	async run(statement: SingleStatement, isWrite: boolean, request: Operation): Promise<Result<EndpointAnswer, StatementFailure>> {
		const operation = {...request, group: this.options.group};
		const opened = await this.#open(operation);
		if (opened.isErr()) {
			return this.#fail(opened.error);
		}

		const held = opened.value;
		const ready = await prepareConnection(held.connection, this.options.session, statement.prepared, this.#leftMs(operation));
		if (this.#state !== 'open') {
			// Given up meanwhile; its connection may serve another client by now.
			return err(statementFailure('transaction-failed'));
		}

		if (ready.isErr()) {
			return this.#lose(held, ready.error.kind === 'silent');
		}

		this.#hasWritten ||= isWrite;
		return this.#runOnHeld(held, statement.command, operation);
	}

	async commit(request: Operation): Promise<Result<EndpointAnswer, StatementFailure>> {
		const operation = {...request, group: this.options.group};
		const opened = await this.#open(operation);
		if (opened.isErr()) {
			return this.#fail(opened.error);
		}

		const held = opened.value;
		const command = {kind: 'commit', id: operation.id} as const;
		const {timers} = this.options.context;
		const answer = this.#hasWritten ? await runCommitOn(held, command, operation, timers) : await runOn(held, command, this.#leftMs(operation), timers);
		this.#state = 'ended';
		this.#held = undefined;
		if (answer.isErr()) {
			discard(held, answer.error === 'silent');
			return err(this.#commitFailure(answer.error));
		}

		this.#giveBack(held, answer.value);
		const {error, position} = answer.value;
		if (error) {
			return err(endpointFailure(error));
		}

		if (this.#hasWritten) {
			this.options.session.noteCommit(position);
		}

		return ok(answer.value);
	}

	/** Ends the transaction without its effects. The endpoint's rollback need not be waited for. */
	abort(): void {
		this.#state = 'ended';
		this.#releaseWithRollback();
	}

	/** Rolls back while the client rests; its next statement finds the transaction failed. */
	expire(): void {
		this.#state = 'failed';
		this.#releaseWithRollback();
	}

	/** Whether a commit without an answer may have taken effect. */
	#commitFailure(kind: 'lost' | 'silent'): StatementFailure {
		if (!this.#hasWritten) {
			return {...statementFailure('transaction-failed'), text: 'the transaction wrote nothing and was not confirmed; repeat it'};
		}

		return statementFailure(kind === 'lost' ? 'connection-lost' : 'endpoint-silent');
	}

	#giveBack(held: HeldConnection, answer: EndpointAnswer): void {
		if (answer.transaction === 'idle') {
			held.member.pool.release(held.connection);
		} else {
			void rollBack(held, this.options.context);
		}
	}

	async #runOnHeld(held: HeldConnection, command: EndpointCommand, operation: LocalOperation): Promise<Result<EndpointAnswer, StatementFailure>> {
		const {context} = this.options;
		for (;;) {
			const answer = await runOn(held, command, this.#leftMs(operation), context.timers);
			if (answer.isErr()) {
				return this.#lose(held, answer.error === 'silent');
			}

			const {error, transaction} = answer.value;
			if (!error) {
				return ok(answer.value);
			}

			const mayRepeat = error.code === 'busy' && transaction === 'open' && this.#leftMs(operation) > 2 * busyPauseMs;
			if (!mayRepeat) {
				if (error.code === 'read-only') {
					operation.group.recordLeadershipLost(held.member);
				}

				return this.#fail(endpointFailure(error));
			}

			operation.progress.attempts += 1;

			await context.timers.sleep(busyPauseMs);
			if (this.#state !== 'open') {
				return err(statementFailure('transaction-failed'));
			}
		}
	}

	async #open(operation: LocalOperation): Promise<Result<HeldConnection, StatementFailure>> {
		if (this.#held) {
			return ok(this.#held);
		}

		const opened = await this.#begin({...operation, arrivedAtMs: this.options.beganAtMs});
		if (opened.isOk() && this.#state !== 'open') {
			void rollBack(opened.value, this.options.context);
			return err(statementFailure('transaction-failed'));
		}

		if (opened.isOk()) {
			this.#held = opened.value;
		}

		return opened;
	}

	/** Tries until a member has begun the transaction; nothing of it has run before that. */
	async #begin(operation: LocalOperation): Promise<Result<HeldConnection, StatementFailure>> {
		const isBounded = operation.route.consistency !== 'primary';
		const after = isBounded ? await requiredPosition(operation, this.options.context.timers) : undefined;
		if (isBounded && !after) {
			return err(statementFailure('position-unknown'));
		}

		const {context} = this.options;
		const excluded = new Set<string>();
		let last = statementFailure('leader-unknown');
		while (context.timers.nowMs() < operation.deadlineMs) {
			const mayRead = this.options.readOnly && after;
			// A client's id goes only with the text that the client sent.
			const isSameText = Boolean(mayRead) === this.options.readOnly;

			const acquired = mayRead ? await acquireReader(operation, after, excluded, context) : await acquireLeader(operation, context);
			if (acquired.isErr()) {
				last = acquired.error;
				if (!mayRead || excluded.size === 0) {
					break;
				}

				excluded.clear();
			} else {
				const begun = await this.#beginOn(acquired.value, {
					kind: 'begin', id: isSameText ? this.options.id : undefined, readOnly: Boolean(mayRead), after,
				}, operation);
				if (begun.isOk()) {
					return begun;
				}

				last = begun.error;
				excluded.add(acquired.value.member.id);
			}

			operation.progress.attempts += 1;

			await context.timers.sleep(busyPauseMs);
		}

		return err(last);
	}

	async #beginOn(held: HeldConnection, command: Extract<EndpointCommand, {kind: 'begin'}>, operation: LocalOperation): Promise<Result<HeldConnection, StatementFailure>> {
		const {context, session} = this.options;
		const {group} = operation;
		if (!command.after && (!await group.proveLeadership(operation.arrivedAtMs, operation.deadlineMs) || group.leader !== held.member)) {
			held.member.pool.release(held.connection);
			return err(statementFailure('leadership-unproven'));
		}

		// Values are set before the transaction begins, since an endpoint may refuse to reset them inside one.
		const ready = await prepareConnection(held.connection, session, undefined, this.#leftMs(operation));
		if (ready.isErr()) {
			discard(held, ready.error.kind === 'silent');
			return err(statementFailure('no-reader'));
		}

		const answer = await runOn(held, command, this.#leftMs(operation), context.timers);
		if (answer.isErr()) {
			discard(held, answer.error === 'silent');
			return err(statementFailure('no-reader'));
		}

		const {error} = answer.value;
		if (!error) {
			return ok(held);
		}

		this.#giveBack(held, answer.value);
		if (error.code === 'read-only') {
			group.recordLeadershipLost(held.member);
		}

		return err(endpointFailure(error));
	}

	/** The connection ended before the commit was sent, so the endpoint rolls back. */
	#lose(held: HeldConnection, isSilent: boolean): Result<never, StatementFailure> {
		discard(held, isSilent);
		this.#held = undefined;
		this.#state = 'failed';
		return err({...statementFailure('transaction-failed'), reason: isSilent ? 'endpoint-silent' : 'connection-lost'});
	}

	#fail(failure: StatementFailure): Result<never, StatementFailure> {
		this.#state = 'failed';
		this.#releaseWithRollback();
		return err(failure);
	}

	#releaseWithRollback(): void {
		if (this.#held) {
			void rollBack(this.#held, this.options.context);
			this.#held = undefined;
		}
	}

	#leftMs({deadlineMs}: LocalOperation): number {
		return deadlineMs - this.options.context.timers.nowMs();
	}
}
