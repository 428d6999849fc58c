import {err, ok} from 'neverthrow';
import {statementFailure} from './errors.js';
import {
	acquireLeader, discard, type LocalOperation, type OperationContext, runCommitOn,
} from './operation.js';
import {prepareConnection} from './prepare-connection.js';
import {
	type Attempt, final, notRun, refusedOrFinal, repeatWhileNotRun, type SingleResult, type SingleStatement,
} from './single-statement.js';

/** Runs a write at the primary. Repeats it only while it is known not to have run. */
export async function runSingleWrite(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<SingleResult> {
	return repeatWhileNotRun(operation, context, async () => attemptWrite(statement, operation, context));
}

async function attemptWrite(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<Attempt> {
	const acquired = await acquireLeader(operation, context);
	if (acquired.isErr()) {
		return notRun(acquired.error);
	}

	const held = acquired.value;
	const leftMs = () => operation.deadlineMs - context.timers.nowMs();
	const ready = await prepareConnection(held.connection, operation.session, statement.prepared, leftMs());
	if (ready.isErr()) {
		discard(held, ready.error.kind === 'silent');
		return notRun(statementFailure('no-reader'));
	}

	const answer = await runCommitOn(held, statement.command, operation, context.timers);
	if (answer.isErr()) {
		discard(held, answer.error === 'silent');
		return final(err(statementFailure(answer.error === 'lost' ? 'connection-lost' : 'endpoint-silent')));
	}

	held.member.pool.release(held.connection);
	const {error, position} = answer.value;
	if (!error) {
		operation.session.noteCommit(position);
		return final(ok(answer.value));
	}

	return refusedOrFinal(error, held, statement, operation);
}
