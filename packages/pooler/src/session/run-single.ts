import {type LogPosition, type RetryBudget} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type Group, type Member} from '../group/index.js';
import {
	acquireLeader, acquireReader, discard, type HeldConnection, type LocalOperation, type OperationContext, requiredPosition, runCommitOn, runOn, type RunResult,
} from './operation.js';
import {endpointFailure, statementFailure, type StatementFailure} from './errors.js';
import {prepareConnection} from './prepare-connection.js';
import {type PreparedStatement} from './session-state.js';

/** A read or a write outside a transaction. */
export type SingleStatement = {
	command: Extract<EndpointCommand, {kind: 'read' | 'write' | 'execute'}>;
	prepared: PreparedStatement | undefined;
};

export type SingleResult = Result<EndpointAnswer, StatementFailure>;

/** Pause before a statement that an endpoint refused as busy is sent again, in ms. */
const busyPauseMs = 30;
/** A member that refused a read as lagging, or failed it, is passed over for this long, in ms. */
const avoidMs = 100;
/** A read without an answer for this many usual latencies is sent to another member as well. */
const hedgeLatencies = 5;
/** The shortest time before that, in ms; most reads, long ones included, end before. */
const minHedgeMs = 250;

/** Outcome of one attempt: final, or known not to have run. */
type Attempt = {kind: 'final'; result: SingleResult} | {kind: 'not-run'; failure: StatementFailure};

/** Whether another attempt before the deadline would end the same way. */
const isHopeless = ({reason}: StatementFailure): boolean => reason === 'leader-unknown' || reason === 'leader-stalled' || reason === 'no-connection';

const final = (result: SingleResult): Attempt => ({kind: 'final', result});
const notRun = (failure: StatementFailure): Attempt => ({kind: 'not-run', failure});

/** Runs a write at the primary. Repeats it only while it is known not to have run. */
export async function runSingleWrite(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<SingleResult> {
	let last = statementFailure('leader-unknown');
	while (context.timers.nowMs() < operation.deadlineMs) {
		const attempt = await attemptWrite(statement, operation, context);
		if (attempt.kind === 'final') {
			return attempt.result;
		}

		last = attempt.failure;
		if (isHopeless(last)) {
			break;
		}

		operation.attempts += 1;

		await context.timers.sleep(busyPauseMs);
	}

	return err(last);
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

/** Sorts an endpoint's error into those that say that nothing ran, and the others. */
function refusedOrFinal(error: NonNullable<EndpointAnswer['error']>, held: HeldConnection, statement: SingleStatement, {group}: LocalOperation): Attempt {
	if (error.code === 'unknown-statement' && statement.prepared) {
		held.connection.prepared.delete(statement.prepared.sharedName);
		return notRun(endpointFailure(error));
	}

	if (error.code === 'read-only') {
		group.noteLeadershipLost(held.member);
		return notRun(endpointFailure(error));
	}

	return error.code === 'busy' || error.code === 'lagging'
		? notRun(endpointFailure(error))
		: final(err(endpointFailure(error)));
}

/**
 * Runs a read that must see every acknowledged commit. It runs in a transaction that only a primary accepts, so
 * that one which was told to step down refuses it.
 */
export async function runPrimaryRead(statement: SingleStatement, operation: LocalOperation, context: OperationContext): Promise<SingleResult> {
	let last = statementFailure('leader-unknown');
	while (context.timers.nowMs() < operation.deadlineMs) {
		const attempt = await attemptPrimaryRead(statement, operation, context);
		if (attempt.kind === 'final') {
			return attempt.result;
		}

		last = attempt.failure;
		if (isHopeless(last)) {
			break;
		}

		operation.attempts += 1;

		await context.timers.sleep(busyPauseMs);
	}

	return err(last);
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

/**
 * Runs a read at any member whose log is far enough. A member that refuses or fails it is passed over; one that
 * is silent for long is helped out by a second one.
 */
export async function runBoundedRead(
	statement: SingleStatement,
	operation: LocalOperation,
	context: OperationContext & {hedges: RetryBudget},
): Promise<SingleResult> {
	const after = await requiredPosition(operation);
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
		operation.attempts += 1;
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

	if (!context.hedges.tryRetry('', operation.group.service)) {
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
