import {err, ok} from 'neverthrow';
import {statementFailure} from './errors.js';
import {
	acquireLeader, discard, type LocalOperation, type OperationContext, runOn,
} from './operation.js';
import {prepareConnection} from './prepare-connection.js';
import {
	type Attempt, final, notRun, refusedOrFinal, repeatWhileNotRun, rollBack, type SingleResult, type SingleStatement,
} from './single-statement.js';

/**
 * Runs a read that must see every acknowledged commit. It runs in a transaction that only a primary accepts, so
 * that one which was told to step down refuses it.
 */
export async function runPrimaryRead(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<SingleResult> {
	return repeatWhileNotRun(operation, context, async () => attemptPrimaryRead(statement, operation, context));
}

async function attemptPrimaryRead(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<Attempt> {
	const leftMs = () => operation.deadlineMs - context.timers.nowMs();
	const acquired = await acquireLeader(operation, context);
	if (acquired.isErr()) {
		return notRun(acquired.error);
	}

	const held = acquired.value;
	if (!await operation.group.proveLeadership(operation.arrivedAtMs, operation.deadlineMs) || operation.group.leader !== held.member) {
		held.member.pool.release(held.connection);
		return notRun(statementFailure('leadership-unproven'));
	}

	const ready = await prepareConnection(held.connection, operation.session, statement.prepared, leftMs());
	if (ready.isErr()) {
		discard(held, ready.error.kind === 'silent');
		return notRun(statementFailure('no-reader'));
	}

	const begun = await runOn(held, {kind: 'begin', readOnly: false}, leftMs(), context.timers);
	if (begun.isErr()) {
		discard(held, begun.error === 'silent');
		return notRun(statementFailure('no-reader'));
	}

	if (begun.value.error) {
		held.member.pool.release(held.connection);
		return refusedOrFinal(begun.value.error, held, statement, operation);
	}

	const answer = await runOn(held, statement.command, leftMs(), context.timers);
	if (answer.isErr()) {
		discard(held, answer.error === 'silent');
		return answer.error === 'lost' ? notRun(statementFailure('connection-lost')) : final(err(statementFailure('endpoint-silent')));
	}

	void rollBack(held, context);
	return answer.value.error ? refusedOrFinal(answer.value.error, held, statement, operation) : final(ok(answer.value));
}
