import {type LogPosition, type RetryBudget} from '@dogwoodthread/coordination';
import {err, ok} from 'neverthrow';
import {type Group, type Member} from '../group/index.js';
import {endpointFailure, statementFailure} from './errors.js';
import {
	acquireReader, discard, type HeldConnection, type LocalOperation, type OperationContext, requiredPosition, runOn, type RunResult,
} from './operation.js';
import {prepareConnection} from './prepare-connection.js';
import {
	type Attempt, busyPauseMs, final, notRun, type SingleResult, type SingleStatement,
} from './single-statement.js';

/** A member that refused a read as lagging, or failed it, is passed over for this long, in ms. */
const avoidMs = 100;
/** A read without an answer for this many usual latencies is sent to another member as well. */
const hedgeLatencies = 5;
/** The shortest time before that, in ms; most reads, long ones included, end before. */
const minHedgeMs = 250;

/**
 * Runs a read at any member whose log is far enough. A member that refuses or fails it is passed over; one that
 * is silent for long is helped out by a second one.
 */
export async function runBoundedRead(
	statement: SingleStatement,
	operation: LocalOperation,
	context: OperationContext & {hedges: RetryBudget},
): Promise<SingleResult> {
	const after = await requiredPosition(operation, context.timers);
	if (!after) {
		return err(statementFailure('position-unknown'));
	}

	const excluded = new Set<string>();
	let last = statementFailure('no-reader');
	while (context.timers.nowMs() < operation.deadlineMs) {
		const attempt = await attemptBoundedRead(statement, operation, context, {after, excluded});
		if (attempt.kind === 'final') {
			if (attempt.result.isOk()) {
				context.hedges.onSuccess('', operation.group.service);
			}

			return attempt.result;
		}

		last = attempt.failure;
		operation.progress.attempts += 1;
		if (last.reason === 'no-reader' && isOutOfReach(operation.group, context.timers.nowMs())) {
			break;
		}

		if (last.reason === 'no-reader') {
			// Every member was tried: one that was busy or behind may be able by now.
			excluded.clear();

			await context.timers.sleep(busyPauseMs);
		}
	}

	return err(last);
}

/** A member that answers nothing for this long is taken to be out of reach, in ms. */
const outOfReachMs = 500;

const isOutOfReach = ({members}: Group, nowMs: number): boolean =>
	[...members.values()].every(member => member.failingForMs(nowMs) > outOfReachMs);

type ReadPlan = {after: LogPosition; excluded: Set<string>};

async function attemptBoundedRead(
	statement: SingleStatement,
	operation: LocalOperation,
	context: OperationContext & {hedges: RetryBudget},
	plan: ReadPlan,
): Promise<Attempt> {
	const acquired = await acquireReader(operation, plan.after, plan.excluded, context);
	if (acquired.isErr()) {
		return notRun(acquired.error);
	}

	const held = acquired.value;
	const first = readAt(held, statement, operation, context, plan.after);
	const hedgeMs = Math.max(minHedgeMs, hedgeLatencies * held.member.latencyMs);
	const early = await Promise.race([first, context.timers.sleep(hedgeMs)]);
	if (early) {
		return settleRead(early, held.member, plan, context);
	}

	if (!context.hedges.tryTakeRetry('', operation.group.service)) {
		return settleRead(await first, held.member, plan, context);
	}

	plan.excluded.add(held.member.id);
	const second = await acquireReader(operation, plan.after, plan.excluded, context);
	if (second.isErr()) {
		return settleRead(await first, held.member, plan, context);
	}

	context.events.write('request-retried', {
		requestId: operation.id, reason: 'slow-answer', from: held.member.id, to: second.value.member.id, waitedMs: Math.round(hedgeMs),
	});
	const backup = readAt(second.value, statement, operation, context, plan.after);
	const winner = await Promise.race([
		raced(first, held.member, backup, second.value.member),
		raced(backup, second.value.member, first, held.member),
	]);
	const attempt = settleRead(winner.result, winner.member, plan, context);
	return attempt.kind === 'final' && attempt.result.isOk()
		? attempt
		: settleRead(await winner.other, winner.otherMember, plan, context);
}

const raced = async (run: Promise<RunResult>, member: Member, other: Promise<RunResult>, otherMember: Member) => ({
	result: await run, member, other, otherMember,
});

/** Runs the read on a held connection and gives the connection back. */
async function readAt(held: HeldConnection, statement: SingleStatement, operation: LocalOperation, context: OperationContext, after: LogPosition): Promise<RunResult> {
	const leftMs = () => operation.deadlineMs - context.timers.nowMs();
	const ready = await prepareConnection(held.connection, operation.session, statement.prepared, leftMs());
	if (ready.isErr()) {
		discard(held, ready.error.kind === 'silent');
		return err('lost');
	}

	const startedMs = context.timers.nowMs();
	const answer = await runOn(held, {...statement.command, after}, leftMs(), context.timers);
	context.metrics.stage(operation.route.consistency, 'endpoint', context.timers.nowMs() - startedMs);
	if (answer.isErr()) {
		discard(held, answer.error === 'silent');
		return answer;
	}

	if (answer.value.error?.code === 'unknown-statement' && statement.prepared) {
		held.connection.prepared.delete(statement.prepared.sharedName);
	}

	held.member.pool.release(held.connection);
	return answer;
}

const retryableReadErrors: ReadonlySet<string> = new Set(['busy', 'lagging', 'read-only', 'unknown-statement', 'failed', 'timeout']);

function settleRead(result: RunResult, member: Member, plan: ReadPlan, context: OperationContext): Attempt {
	if (result.isErr()) {
		plan.excluded.add(member.id);
		return notRun(statementFailure(result.error === 'lost' ? 'connection-lost' : 'endpoint-silent'));
	}

	const {error} = result.value;
	if (!error) {
		return final(ok(result.value));
	}

	if (!retryableReadErrors.has(error.code)) {
		return final(err(endpointFailure(error)));
	}

	if (error.code !== 'unknown-statement') {
		plan.excluded.add(member.id);
		member.avoidedUntilMs = context.timers.nowMs() + avoidMs;
	}

	return notRun(endpointFailure(error));
}
