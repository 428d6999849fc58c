import {err, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {
	endpointFailure, preparationFailure, statementFailure, type StatementFailure,
} from './errors.js';
import {
	discardConnection, type HeldConnection, type LocalOperation, type OperationContext, runCommand,
} from './operation.js';
import {lastingRefusal, type PrepareError} from './prepare-connection.js';
import {type PreparedStatement} from './prepared-statement.js';

/** A read, write or prepared statement to run; `prepared` is set if the command executes a prepared statement. */
export type SingleStatement = {
	command: Extract<EndpointCommand, {kind: 'read' | 'write' | 'execute'}>;
	prepared: PreparedStatement | undefined;
};

export type SingleResult = Result<EndpointAnswer, StatementFailure>;

/** Delay before a statement that is known not to have run is tried again, in ms. */
export const retryDelayMs = 30;

/** Outcome of one attempt: final, or known not to have run so that it can be retried. */
export type AttemptOutcome = {kind: 'final'; result: SingleResult} | {kind: 'not-run'; failure: StatementFailure};

const futileReasons: ReadonlySet<string> = new Set(['leader-unknown', 'leader-stalled', 'no-connection', 'endpoint-unreachable']);

/** Whether another attempt before the deadline would fail for the same reason, or should be made at another host. */
const isRetryFutile = ({reason}: StatementFailure, {mayMove}: LocalOperation): boolean =>
	futileReasons.has(reason) || (mayMove === true && reason === 'leadership-unproven');

export const finalOutcome = (result: SingleResult): AttemptOutcome => ({kind: 'final', result});
export const notRunOutcome = (failure: StatementFailure): AttemptOutcome => ({kind: 'not-run', failure});

/** Retries while the statement is known not to have run and a later attempt may succeed, until the deadline. */
export async function retryWhileNotRun(operation: LocalOperation, context: OperationContext, attempt: () => Promise<AttemptOutcome>): Promise<SingleResult> {
	let lastFailure = statementFailure('leader-unknown');
	while (context.timers.nowMs() < operation.deadlineMs) {
		const outcome = await attempt();
		if (outcome.kind === 'final') {
			return outcome.result;
		}

		lastFailure = outcome.failure;
		if (isRetryFutile(lastFailure, operation)) {
			break;
		}

		operation.progress.attempts += 1;
		await context.timers.sleep(retryDelayMs);
	}

	return err(lastFailure);
}

/** Turns an endpoint's error into an outcome: `not-run` if the error means that nothing ran, otherwise final. */
export function handleEndpointError(error: NonNullable<EndpointAnswer['error']>, held: HeldConnection, statement: SingleStatement, {group}: LocalOperation): AttemptOutcome {
	if (error.code === 'unknown-statement' && statement.prepared) {
		// The endpoint has forgotten it; it is prepared again.
		return notRunOutcome(statementFailure('no-reader'));
	}

	if (error.code === 'read-only') {
		group.recordLeadershipLost(held.member);
		return notRunOutcome(endpointFailure(error));
	}

	return error.code === 'busy' || error.code === 'lagging'
		? notRunOutcome(endpointFailure(error))
		: finalOutcome(err(endpointFailure(error)));
}

/** Outcome of a statement whose session state could not be set up on the connection, which is given back: nothing of the statement has run. */
export function handlePrepareError(error: PrepareError, held: HeldConnection): AttemptOutcome {
	const refusal = lastingRefusal(error);
	if (refusal) {
		held.member.pool.release(held.connection);
		return finalOutcome(err(preparationFailure(refusal)));
	}

	discardConnection(held, error.kind === 'silent');
	return notRunOutcome(statementFailure('no-reader'));
}

/** Timeout for a rollback, in ms; short, because a rollback is no work for the endpoint. */
const rollbackTimeoutMs = 1000;

/**
 * Ends a transaction that may still be running a command: refuses its further commands, rolls it back after the one in
 * progress, and releases the connection to its pool. Closes the connection if the rollback is not confirmed.
 */
export async function rollBackAndRelease({member, connection}: HeldConnection, context: OperationContext): Promise<void> {
	const lease = connection.transfer();
	if (!lease) {
		return;
	}

	const held = {member, connection: lease};
	const answer = await runCommand(held, {kind: 'rollback'}, rollbackTimeoutMs, context.timers);
	if (answer.isOk() && answer.value.transaction === 'idle') {
		member.pool.release(lease);
	} else {
		discardConnection(held, answer.isErr() && answer.error === 'silent');
	}
}
