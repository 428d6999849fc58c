import {err, ok, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type Group} from '../group/index.js';
import {
	endpointFailure, preparationFailure, statementFailure, type StatementFailure,
} from './errors.js';
import {
	acquireLeaderConnection, acquireReaderConnection, confirmCommit, discardConnection, type HeldConnection, type LocalOperation,
	type Operation, type OperationContext, awaitRequiredPosition, proveLeadership, runCommitCommand, runCommand,
} from './operation.js';
import {type TransactionHandle} from './executor.js';
import {lastingRefusal, prepareConnection} from './prepare-connection.js';
import {type PreparedStatement} from './prepared-statement.js';
import {runUnlessSilent} from './run-unless-silent.js';
import {rollBackAndRelease, type SingleStatement} from './single-statement.js';
import {type SessionState} from './session-state.js';

/** Delay before `BEGIN` is tried again, or a statement that the endpoint refused as busy is sent again on the same connection, in ms. */
const retryDelayMs = 20;

export type TransactionOptions = {
	/** Id of the client's `BEGIN`. */
	id: string;
	readOnly: boolean;
	session: SessionState;
	context: OperationContext;
	/** Monotonic time of the `BEGIN`. */
	beganAtMs: number;
	group: Group;
};

/**
 * A client's transaction over this host's own connections. It acquires a connection for its first statement, so that
 * a client that is idle after `BEGIN` holds none, and keeps it until the transaction ends.
 */
export class Transaction implements TransactionHandle {
	#held: HeldConnection | undefined;
	#state: 'open' | 'failed' | 'ended' = 'open';
	#hasWritten = false;

	constructor(private readonly options: TransactionOptions) {}

	get state(): 'open' | 'failed' | 'ended' {
		return this.#state;
	}

	get memberId(): string {
		return this.#held?.member.id ?? 'none';
	}

	async run(statement: SingleStatement, isWrite: boolean, request: Operation): Promise<Result<EndpointAnswer, StatementFailure>> {
		const operation = {...request, group: this.options.group};
		const begun = await this.#ensureBegun(operation);
		if (begun.isErr()) {
			return this.#fail(begun.error);
		}

		const held = begun.value;
		const ready = await this.#prepareHeld(held, statement.prepared, operation);
		if (ready.isErr()) {
			return err(ready.error);
		}

		this.#hasWritten ||= isWrite;
		return this.#runOnHeldConnection(held, statement.command, operation);
	}

	async commit(request: Operation): Promise<Result<EndpointAnswer, StatementFailure>> {
		const operation = {...request, group: this.options.group};
		const begun = await this.#ensureBegun(operation);
		if (begun.isErr()) {
			return this.#fail(begun.error);
		}

		const held = begun.value;
		const ready = await this.#prepareHeld(held, undefined, operation);
		if (ready.isErr()) {
			return err(ready.error);
		}

		// The commit gives the connection back itself; an abort meanwhile must not do it a second time.
		this.#held = undefined;
		const command = {kind: 'commit', id: operation.id} as const;
		const {timers} = this.options.context;
		const {answer, sentAtMs} = this.#hasWritten
			? await runCommitCommand(held, command, operation, timers)
			: {answer: await runCommand(held, command, this.#remainingMs(operation), timers), sentAtMs: 0};
		this.#state = 'ended';
		if (answer.isErr()) {
			discardConnection(held, answer.error === 'silent');
			return err(this.#commitFailure(answer.error));
		}

		this.#releaseOrRollBack(held, answer.value);
		const {error, position} = answer.value;
		if (error) {
			return err(endpointFailure(error));
		}

		if (this.#hasWritten) {
			if (!await confirmCommit(held.member, {sentAtMs, position}, operation)) {
				return err(statementFailure('commit-unconfirmed'));
			}

			this.options.session.recordCommit(position);
		}

		return ok(answer.value);
	}

	/** Rolls the transaction back and ends it, without waiting for the endpoint to confirm the rollback. */
	abort(): void {
		this.#state = 'ended';
		this.#releaseWithRollback();
	}

	/** Rolls the transaction back while the client is idle; the client's next statement finds it failed. */
	expire(): void {
		this.#state = 'failed';
		this.#releaseWithRollback();
	}

	/** Sets up what the client has set or prepared since the last statement. The transaction fails if that is not possible. */
	async #prepareHeld(held: HeldConnection, statement: PreparedStatement | undefined, operation: LocalOperation): Promise<Result<void, StatementFailure>> {
		const {session, context: {events}} = this.options;
		const ready = await prepareConnection(held, {id: operation.id, session}, statement, {timeoutMs: this.#remainingMs(operation), events});
		if (this.#state !== 'open') {
			// The transaction was ended or expired meanwhile, which also stops the preparation.
			return err(statementFailure('transaction-failed'));
		}

		if (ready.isOk()) {
			return ok();
		}

		const refusal = lastingRefusal(ready.error);
		return refusal ? this.#fail(preparationFailure(refusal)) : this.#failAfterConnectionLoss(held, ready.error.kind === 'silent');
	}

	/** Failure for a commit without an answer: the outcome is in doubt only if the transaction wrote something. */
	#commitFailure(kind: 'lost' | 'silent'): StatementFailure {
		if (!this.#hasWritten) {
			return {...statementFailure('transaction-failed'), text: 'the transaction wrote nothing and was not confirmed; repeat it'};
		}

		return statementFailure(kind === 'lost' ? 'connection-lost' : 'endpoint-silent');
	}

	#releaseOrRollBack(held: HeldConnection, answer: EndpointAnswer): void {
		if (answer.transaction === 'idle') {
			held.member.pool.release(held.connection);
		} else {
			void rollBackAndRelease(held, this.options.context);
		}
	}

	async #runOnHeldConnection(held: HeldConnection, command: EndpointCommand, operation: LocalOperation): Promise<Result<EndpointAnswer, StatementFailure>> {
		const {context} = this.options;
		for (;;) {
			const answer = await runCommand(held, command, this.#remainingMs(operation), context.timers);
			if (answer.isErr()) {
				return this.#failAfterConnectionLoss(held, answer.error === 'silent');
			}

			const {error, transaction} = answer.value;
			if (!error) {
				return ok(answer.value);
			}

			const canRetry = error.code === 'busy' && transaction === 'open' && this.#remainingMs(operation) > 2 * retryDelayMs;
			if (!canRetry) {
				if (error.code === 'read-only') {
					operation.group.recordLeadershipLost(held.member);
				}

				// The client has prepared the statement; that the endpoint has forgotten it is no answer for it.
				return this.#fail(error.code === 'unknown-statement' ? statementFailure('transaction-failed') : endpointFailure(error));
			}

			operation.progress.attempts += 1;

			await context.timers.sleep(retryDelayMs);
			if (this.#state !== 'open') {
				return err(statementFailure('transaction-failed'));
			}
		}
	}

	async #ensureBegun(operation: LocalOperation): Promise<Result<HeldConnection, StatementFailure>> {
		if (this.#held) {
			return ok(this.#held);
		}

		const begun = await this.#begin({...operation, arrivedAtMs: this.options.beganAtMs});
		if (this.#state !== 'open') {
			if (begun.isOk()) {
				void rollBackAndRelease(begun.value, this.options.context);
			}

			return err(statementFailure('transaction-failed'));
		}

		if (begun.isOk()) {
			this.#held = begun.value;
		}

		return begun;
	}

	/** Retries until a member has begun the transaction, which is safe because none of its statements has run yet. */
	async #begin(operation: LocalOperation): Promise<Result<HeldConnection, StatementFailure>> {
		const isBounded = operation.route.consistency !== 'primary';
		const minPosition = isBounded ? await awaitRequiredPosition(operation, this.options.context.timers) : undefined;
		if (isBounded && !minPosition) {
			return err(statementFailure('position-unknown'));
		}

		const {context} = this.options;
		const excluded = new Set<string>();
		let lastFailure = statementFailure('leader-unknown');
		// Nothing is begun for a client that has gone meanwhile.
		while (this.#state === 'open' && context.timers.nowMs() < operation.deadlineMs) {
			const canUseReader = this.options.readOnly && minPosition;
			// The client's statement id is sent only with the text that the client sent, not with a `BEGIN` of another mode.
			const isClientText = Boolean(canUseReader) === this.options.readOnly;

			const acquired = canUseReader ? await acquireReaderConnection(operation, minPosition, excluded, context) : await acquireLeaderConnection(operation, context);
			if (acquired.isErr()) {
				lastFailure = acquired.error;
				if (!canUseReader || excluded.size === 0) {
					break;
				}

				excluded.clear();
			} else {
				const begun = await this.#beginOn(acquired.value, {
					kind: 'begin', id: isClientText ? this.options.id : undefined, readOnly: Boolean(canUseReader), after: minPosition,
				}, operation);
				if (begun.isOk()) {
					return begun;
				}

				lastFailure = begun.error;
				const isMoveDue = lastFailure.reason === 'endpoint-unreachable' || (operation.mayMove && lastFailure.reason === 'leadership-unproven');
				if (lastFailure.reason === 'preparation-refused' || (!canUseReader && isMoveDue)) {
					break;
				}

				excluded.add(acquired.value.member.id);
			}

			operation.progress.attempts += 1;

			await context.timers.sleep(retryDelayMs);
		}

		return err(lastFailure);
	}

	async #beginOn(held: HeldConnection, command: Extract<EndpointCommand, {kind: 'begin'}>, operation: LocalOperation): Promise<Result<HeldConnection, StatementFailure>> {
		const {context, session} = this.options;
		const {group} = operation;
		if (!command.after && (!await proveLeadership(operation, context.timers) || group.leader !== held.member)) {
			held.member.pool.release(held.connection);
			return err(statementFailure('leadership-unproven'));
		}

		// Session values are set before the transaction begins, because an endpoint may refuse to reset them inside one.
		const ready = await prepareConnection(held, {id: operation.id, session}, undefined, {timeoutMs: this.#remainingMs(operation), events: context.events});
		if (ready.isErr()) {
			const refusal = lastingRefusal(ready.error);
			if (refusal) {
				held.member.pool.release(held.connection);
				return err(preparationFailure(refusal));
			}

			discardConnection(held, ready.error.kind === 'silent');
			return err(statementFailure('no-reader'));
		}

		const answer = await runUnlessSilent(held, command, this.#remainingMs(operation), context.timers);
		if (answer.isErr()) {
			discardConnection(held, answer.error === 'silent');
			return err(statementFailure(answer.error === 'silent' ? 'endpoint-unreachable' : 'no-reader'));
		}

		const {error} = answer.value;
		if (!error) {
			return ok(held);
		}

		this.#releaseOrRollBack(held, answer.value);
		if (error.code === 'read-only') {
			group.recordLeadershipLost(held.member);
		}

		return err(endpointFailure(error));
	}

	/** Fails the transaction after its connection was lost or timed out. No commit was sent, so the endpoint rolls back. */
	#failAfterConnectionLoss(held: HeldConnection, isSilent: boolean): Result<never, StatementFailure> {
		discardConnection(held, isSilent);
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
			void rollBackAndRelease(this.#held, this.options.context);
			this.#held = undefined;
		}
	}

	#remainingMs({deadlineMs}: LocalOperation): number {
		return deadlineMs - this.options.context.timers.nowMs();
	}
}
