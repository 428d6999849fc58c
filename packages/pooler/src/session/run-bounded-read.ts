import {type LogPosition, type RetryBudget} from '@dogwoodthread/coordination';
import {err, ok} from 'neverthrow';
import {type Group, type Member} from '../group/index.js';
import {endpointFailure, statementFailure} from './errors.js';
import {
	acquireReaderConnection, discardConnection, type HeldConnection, type LocalOperation, type OperationContext, awaitRequiredPosition, type CommandResult,
} from './operation.js';
import {lastingRefusal, prepareConnection} from './prepare-connection.js';
import {runUnlessSilent} from './run-unless-silent.js';
import {
	type AttemptOutcome, retryDelayMs, finalOutcome, notRunOutcome, type SingleResult, type SingleStatement,
} from './single-statement.js';

/** A member that refused a read, for example as lagging, or failed it is not chosen for reads for this long, in ms. */
const avoidAfterFailureMs = 100;
/** A read that has taken this many times the member's usual latency is hedged: sent to a second member as well. */
const hedgeLatencyFactor = 5;
/** Minimum delay before a read is hedged, in ms; most reads, including long ones, end sooner. */
const minHedgeDelayMs = 250;

/**
 * Runs a read at any member that has applied the required log position. If a member refuses or fails it, the read is
 * tried at another one; if a member is slow to answer, the read is hedged at a second one.
 */
export async function runBoundedRead(
	statement: SingleStatement,
	operation: LocalOperation,
	context: OperationContext & {hedgeBudget: RetryBudget},
): Promise<SingleResult> {
	const minPosition = await awaitRequiredPosition(operation, context.timers);
	if (!minPosition) {
		return err(statementFailure('position-unknown'));
	}

	const excluded = new Set<string>();
	let lastFailure = statementFailure('no-reader');
	while (context.timers.nowMs() < operation.deadlineMs) {
		const attempt = await attemptBoundedRead(statement, operation, context, {minPosition, excluded});
		if (attempt.kind === 'final') {
			if (attempt.result.isOk()) {
				context.hedgeBudget.onSuccess('', operation.group.service);
			}

			return attempt.result;
		}

		lastFailure = attempt.failure;
		operation.progress.attempts += 1;
		if (lastFailure.reason === 'no-reader' && isEveryMemberUnreachable(operation.group, context.timers.nowMs())) {
			break;
		}

		if (lastFailure.reason === 'no-reader') {
			if (operation.mayMove && !operation.group.canServe(false, context.timers.nowMs())) {
				break;
			}

			// Every member was tried; one that was busy or behind may be able to serve the read by now.
			excluded.clear();

			await context.timers.sleep(retryDelayMs);
		}
	}

	return err(lastFailure);
}

/** A member that has not answered for longer than this is considered unreachable, in ms. */
const unreachableAfterMs = 500;

const isEveryMemberUnreachable = ({members}: Group, nowMs: number): boolean =>
	[...members.values()].every(member => member.failingForMs(nowMs) > unreachableAfterMs);

type ReadConstraints = {minPosition: LogPosition; excluded: Set<string>};

async function attemptBoundedRead(
	statement: SingleStatement,
	operation: LocalOperation,
	context: OperationContext & {hedgeBudget: RetryBudget},
	constraints: ReadConstraints,
): Promise<AttemptOutcome> {
	const acquired = await acquireReaderConnection(operation, constraints.minPosition, constraints.excluded, context);
	if (acquired.isErr()) {
		return notRunOutcome(acquired.error);
	}

	const held = acquired.value;
	const firstRun = runRead(held, statement, operation, context, constraints.minPosition);
	const hedgeDelayMs = Math.max(minHedgeDelayMs, hedgeLatencyFactor * held.member.latencyMs);
	const firstResult = await Promise.race([firstRun, context.timers.sleep(hedgeDelayMs)]);
	if (firstResult) {
		return evaluateReadResult(firstResult, held.member, constraints, context);
	}

	if (!context.hedgeBudget.tryTakeRetry('', operation.group.service)) {
		return evaluateReadResult(await firstRun, held.member, constraints, context);
	}

	constraints.excluded.add(held.member.id);
	const hedge = await acquireReaderConnection(operation, constraints.minPosition, constraints.excluded, context);
	if (hedge.isErr()) {
		return evaluateReadResult(await firstRun, held.member, constraints, context);
	}

	context.events.write('request-retried', {
		requestId: operation.id, reason: 'slow-answer', from: held.member.id, to: hedge.value.member.id, waitedMs: Math.round(hedgeDelayMs),
	});
	const hedgeRun = runRead(hedge.value, statement, operation, context, constraints.minPosition);
	const winner = await Promise.race([
		awaitRun(firstRun, held.member, hedgeRun, hedge.value.member),
		awaitRun(hedgeRun, hedge.value.member, firstRun, held.member),
	]);
	const attempt = evaluateReadResult(winner.result, winner.member, constraints, context);
	return attempt.kind === 'final' && attempt.result.isOk()
		? attempt
		: evaluateReadResult(await winner.other, winner.otherMember, constraints, context);
}

const awaitRun = async (run: Promise<CommandResult>, member: Member, other: Promise<CommandResult>, otherMember: Member) => ({
	result: await run, member, other, otherMember,
});

/** Runs the read on a held connection, then releases the connection, or closes it if no answer came. */
async function runRead(held: HeldConnection, statement: SingleStatement, operation: LocalOperation, context: OperationContext, minPosition: LogPosition): Promise<CommandResult> {
	const remainingMs = () => operation.deadlineMs - context.timers.nowMs();
	const ready = await prepareConnection(held, operation, statement.prepared, {timeoutMs: remainingMs(), events: context.events});
	if (ready.isErr()) {
		const error = lastingRefusal(ready.error);
		if (error) {
			held.member.pool.release(held.connection);
			return ok({rows: [], error, transaction: 'idle'});
		}

		discardConnection(held, ready.error.kind === 'silent');
		return err('lost');
	}

	const startedMs = context.timers.nowMs();
	const answer = await runUnlessSilent(held, {...statement.command, after: minPosition}, remainingMs(), context.timers);
	context.metrics.recordStageDuration(operation.route.consistency, 'endpoint', context.timers.nowMs() - startedMs);
	if (answer.isErr()) {
		discardConnection(held, answer.error === 'silent');
		return answer;
	}

	held.member.pool.release(held.connection);
	return answer;
}

const retryableReadErrors: ReadonlySet<string> = new Set(['busy', 'lagging', 'read-only', 'unknown-statement', 'failed', 'timeout']);

function evaluateReadResult(result: CommandResult, member: Member, constraints: ReadConstraints, context: OperationContext): AttemptOutcome {
	if (result.isErr()) {
		constraints.excluded.add(member.id);
		return notRunOutcome(statementFailure(result.error === 'lost' ? 'connection-lost' : 'endpoint-silent'));
	}

	const {error} = result.value;
	if (!error) {
		return finalOutcome(ok(result.value));
	}

	if (!retryableReadErrors.has(error.code)) {
		return finalOutcome(err(endpointFailure(error)));
	}

	if (error.code === 'unknown-statement') {
		// The endpoint has forgotten it; it is prepared again.
		return notRunOutcome(statementFailure('no-reader'));
	}

	constraints.excluded.add(member.id);
	member.avoidedUntilMs = context.timers.nowMs() + avoidAfterFailureMs;
	return notRunOutcome(endpointFailure(error));
}
