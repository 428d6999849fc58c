import {err, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {endpointFailure, statementFailure, type StatementFailure} from './errors.js';
import {
	discard, type HeldConnection, type LocalOperation, type OperationContext, runOn,
} from './operation.js';
import {type PreparedStatement} from './session-state.js';

/** A read or a write outside a transaction. */
export type SingleStatement = {
	command: Extract<EndpointCommand, {kind: 'read' | 'write' | 'execute'}>;
	prepared: PreparedStatement | undefined;
};

export type SingleResult = Result<EndpointAnswer, StatementFailure>;

/** Pause before a statement that an endpoint refused as busy is sent again, in ms. */
export const busyPauseMs = 30;
/** Outcome of one attempt: final, or known not to have run. */
export type Attempt = {kind: 'final'; result: SingleResult} | {kind: 'not-run'; failure: StatementFailure};

/** Whether another attempt before the deadline would end the same way. */
const isHopeless = ({reason}: StatementFailure): boolean => reason === 'leader-unknown' || reason === 'leader-stalled' || reason === 'no-connection';

export const final = (result: SingleResult): Attempt => ({kind: 'final', result});
export const notRun = (failure: StatementFailure): Attempt => ({kind: 'not-run', failure});

/** Tries again while a statement is known not to have run and a later attempt may end otherwise. */
export async function repeatWhileNotRun(operation: LocalOperation, context: OperationContext, attempt: () => Promise<Attempt>): Promise<SingleResult> {
	let last = statementFailure('leader-unknown');
	while (context.timers.nowMs() < operation.deadlineMs) {
		const outcome = await attempt();
		if (outcome.kind === 'final') {
			return outcome.result;
		}

		last = outcome.failure;
		if (isHopeless(last)) {
			break;
		}

		operation.progress.attempts += 1;
		await context.timers.sleep(busyPauseMs);
	}

	return err(last);
}

/** Sorts an endpoint's error into those that say that nothing ran, and the others. */
export function refusedOrFinal(error: NonNullable<EndpointAnswer['error']>, held: HeldConnection, statement: SingleStatement, {group}: LocalOperation): Attempt {
	if (error.code === 'unknown-statement' && statement.prepared) {
		held.connection.prepared.delete(statement.prepared.sharedName);
		return notRun(endpointFailure(error));
	}

	if (error.code === 'read-only') {
		group.recordLeadershipLost(held.member);
		return notRun(endpointFailure(error));
	}

	return error.code === 'busy' || error.code === 'lagging'
		? notRun(endpointFailure(error))
		: final(err(endpointFailure(error)));
}

/** Longest time for a rollback, in ms; the endpoint does no work for it. */
const rollbackTimeoutMs = 1000;

/** Ends the transaction on a connection and gives it back, or closes it if that is not confirmed. */
export async function rollBack(held: HeldConnection, context: OperationContext): Promise<void> {
	const answer = await runOn(held, {kind: 'rollback'}, rollbackTimeoutMs, context.timers);
	if (answer.isOk() && answer.value.transaction === 'idle') {
		held.member.pool.release(held.connection);
	} else {
		discard(held, answer.isErr() && answer.error === 'silent');
	}
}
