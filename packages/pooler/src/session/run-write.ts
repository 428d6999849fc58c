import {err, ok} from 'neverthrow';
import {statementFailure} from './errors.js';
import {
	acquireLeaderConnection, confirmCommit, discardConnection, type LocalOperation, type OperationContext, runCommitCommand,
} from './operation.js';
import {prepareConnection} from './prepare-connection.js';
import {
	type AttemptOutcome, finalOutcome, notRunOutcome, handleEndpointError, handlePrepareError, retryWhileNotRun, type SingleResult, type SingleStatement,
} from './single-statement.js';

/** Runs a write at the primary. Retries it only while it is known not to have run. */
export async function runSingleWrite(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<SingleResult> {
	return retryWhileNotRun(operation, context, async () => attemptWrite(statement, operation, context));
}

async function attemptWrite(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<AttemptOutcome> {
	const acquired = await acquireLeaderConnection(operation, context);
	if (acquired.isErr()) {
		return notRunOutcome(acquired.error);
	}

	const held = acquired.value;
	const remainingMs = () => operation.deadlineMs - context.timers.nowMs();
	const ready = await prepareConnection(held, operation, statement.prepared, {timeoutMs: remainingMs(), events: context.events});
	if (ready.isErr()) {
		return handlePrepareError(ready.error, held);
	}

	const {answer, sentAtMs} = await runCommitCommand(held, statement.command, operation, context.timers);
	if (answer.isErr()) {
		discardConnection(held, answer.error === 'silent');
		return finalOutcome(err(statementFailure(answer.error === 'lost' ? 'connection-lost' : 'endpoint-silent')));
	}

	held.member.pool.release(held.connection);
	const {error, position} = answer.value;
	if (!error) {
		if (!await confirmCommit(held.member, {sentAtMs, position}, operation)) {
			return finalOutcome(err(statementFailure('commit-unconfirmed')));
		}

		operation.session.recordCommit(position);
		return finalOutcome(ok(answer.value));
	}

	return handleEndpointError(error, held, statement, operation);
}
