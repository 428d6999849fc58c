import {err, ok} from 'neverthrow';
import {statementFailure} from './errors.js';
import {
	acquireLeaderConnection, discardConnection, type LocalOperation, type OperationContext, proveLeadership,
} from './operation.js';
import {prepareConnection} from './prepare-connection.js';
import {runUnlessSilent} from './run-unless-silent.js';
import {
	type AttemptOutcome, finalOutcome, notRunOutcome, handleEndpointError, handlePrepareError, retryWhileNotRun, rollBackAndRelease, type SingleResult, type SingleStatement,
} from './single-statement.js';

/**
 * Runs a read that must see every acknowledged commit. It runs in a read-write transaction, which only a primary
 * accepts, so that a former primary that was told to step down refuses it.
 */
export async function runPrimaryRead(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<SingleResult> {
	return retryWhileNotRun(operation, context, async () => attemptPrimaryRead(statement, operation, context));
}

async function attemptPrimaryRead(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<AttemptOutcome> {
	const remainingMs = () => operation.deadlineMs - context.timers.nowMs();
	const acquired = await acquireLeaderConnection(operation, context);
	if (acquired.isErr()) {
		return notRunOutcome(acquired.error);
	}

	const held = acquired.value;
	if (!await proveLeadership(operation, context.timers) || operation.group.leader !== held.member) {
		held.member.pool.release(held.connection);
		return notRunOutcome(statementFailure('leadership-unproven'));
	}

	const ready = await prepareConnection(held, operation, statement.prepared, {timeoutMs: remainingMs(), events: context.events});
	if (ready.isErr()) {
		return handlePrepareError(ready.error, held);
	}

	const begun = await runUnlessSilent(held, {kind: 'begin', readOnly: false}, remainingMs(), context.timers);
	if (begun.isErr()) {
		discardConnection(held, begun.error === 'silent');
		return notRunOutcome(statementFailure(begun.error === 'silent' ? 'endpoint-unreachable' : 'no-reader'));
	}

	if (begun.value.error) {
		held.member.pool.release(held.connection);
		return handleEndpointError(begun.value.error, held, statement, operation);
	}

	const answer = await runUnlessSilent(held, statement.command, remainingMs(), context.timers);
	if (answer.isErr()) {
		discardConnection(held, answer.error === 'silent');
		// A read keeps nothing, so it may run again, at this host or at another one.
		return notRunOutcome(statementFailure(answer.error === 'silent' ? 'endpoint-unreachable' : 'connection-lost'));
	}

	void rollBackAndRelease(held, context);
	return answer.value.error ? handleEndpointError(answer.value.error, held, statement, operation) : finalOutcome(ok(answer.value));
}
