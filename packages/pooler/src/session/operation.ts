import {
	type LogPosition, maxPosition, type TimerService, zeroPosition,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type Route} from '../catalog/index.js';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type Group, type Member} from '../group/index.js';
import {type EventLog, type PoolerMetrics} from '../observability/index.js';
import {type PooledConnection} from '../pool/index.js';
import {chooseReader} from '../routing/index.js';
import {statementFailure, type StatementFailure} from './errors.js';
import {type SessionState} from './session-state.js';

/** What statements need from the daemon. */
export type OperationContext = {
	timers: TimerService;
	events: EventLog;
	metrics: PoolerMetrics;
	failureDomain: string;
};

/** One statement on its way, or the first of a transaction. Times are monotonic, in ms. */
export type Operation = {
	id: string;
	route: Route;
	session: SessionState;
	arrivedAtMs: number;
	deadlineMs: number;
	progress: OperationProgress;
};

/** What became of a statement so far, for the log. Copies of an operation share it. */
export type OperationProgress = {
	/** Attempts that ended without running. */
	attempts: number;
	/** Time spent until it was known how far a reader must be, in ms. */
	positionMs: number;
	/** Time spent waiting for connections, in ms. */
	connectionMs: number;
};

export const newProgress = (): OperationProgress => ({attempts: 0, positionMs: 0, connectionMs: 0});

/** A statement that runs over this host's own connections. */
export type LocalOperation = Operation & {group: Group};

/** A connection held for an operation. */
export type HeldConnection = {member: Member; connection: PooledConnection};

/** The data of a bounded read may be older by this much than asked for at most, less, in ms. */
const stalenessMarginMs = 50;

/** Position that a read must see, by the route's consistency; `undefined` if none is known in time. */
export async function requiredPosition(operation: LocalOperation, timers: TimerService): Promise<LogPosition | undefined> {
	const {
		route, group, session, arrivedAtMs, deadlineMs, progress,
	} = operation;
	const startedMs = timers.nowMs();
	const sinceMs = arrivedAtMs - Math.max(0, route.maxStalenessMs - stalenessMarginMs);
	const bound = await group.awaitBoundSince(sinceMs, deadlineMs);
	progress.positionMs += timers.nowMs() - startedMs;
	if (!bound) {
		return undefined;
	}

	const own = route.consistency === 'read-your-writes' ? session.committed ?? zeroPosition : zeroPosition;
	return maxPosition(bound, own);
}

/**
 * The primary, once there is one that confirms writes. Waits for a promotion that can take place: it is over within
 * the statement's time more often than not, and the client has few repeats. Without a replica that answers
 * nothing can be promoted, and the statement is refused at once.
 */
export async function awaitLeader({group, deadlineMs}: LocalOperation, timers: TimerService): Promise<Result<Member, StatementFailure>> {
	for (;;) {
		const {leader} = group;
		const nowMs = timers.nowMs();
		const isStalled = group.isLeaderStalled(nowMs);
		// While the primary is stalled one write at a time finds out whether it confirms again.
		if (leader && group.takesNewWork(leader, nowMs) && (!isStalled || leader.pendingWrites.size === 0)) {
			return ok(leader);
		}

		if (isStalled && !group.hasHope(nowMs)) {
			return err(statementFailure('leader-stalled'));
		}

		if (nowMs >= deadlineMs || group.members.size === 0) {
			return err(statementFailure('leader-unknown'));
		}

		await group.waitForChange(Math.min(100, deadlineMs - nowMs));
	}
}

/** A connection to the primary, for writes, transactions and reads that must see every commit. */
export async function acquireLeader(operation: LocalOperation, context: OperationContext): Promise<Result<HeldConnection, StatementFailure>> {
	const leader = await awaitLeader(operation, context.timers);
	return leader.isErr() ? err(leader.error) : acquireFrom(leader.value, operation, context);
}

export async function acquireFrom(member: Member, operation: LocalOperation, context: OperationContext): Promise<Result<HeldConnection, StatementFailure>> {
	const startedMs = context.timers.nowMs();
	const acquired = await member.pool.acquire({priority: operation.route.priority, deadlineMs: operation.deadlineMs});
	const waitedMs = context.timers.nowMs() - startedMs;
	operation.progress.connectionMs += waitedMs;
	context.metrics.stage(operation.route.consistency, 'waiting', waitedMs);
	return acquired
		.map(connection => ({member, connection}))
		.mapErr(({kind}) => {
			if (kind === 'unreachable') {
				member.noteFailure(startedMs);
			}

			return statementFailure('no-connection');
		});
}

/** A connection to a member that has `after`, trying each member once. */
export async function acquireReader(
	operation: LocalOperation,
	after: LogPosition,
	excluded: Set<string>,
	context: OperationContext,
): Promise<Result<HeldConnection, StatementFailure>> {
	const member = chooseReader({
		group: operation.group, minPosition: after, nowMs: context.timers.nowMs(), failureDomain: context.failureDomain, excluded,
	});
	if (!member) {
		return err(statementFailure('no-reader'));
	}

	const acquired = await acquireFrom(member, operation, context);
	if (acquired.isErr()) {
		excluded.add(member.id);
	}

	return acquired;
}

/** Result of one command: the answer, or why there is none. */
export type RunResult = Result<EndpointAnswer, 'lost' | 'silent'>;

/** Runs a command on a held connection and learns from the answer. */
export async function runOn(held: HeldConnection, command: EndpointCommand, timeoutMs: number, timers: TimerService): Promise<RunResult> {
	const sentAtMs = timers.nowMs();
	const answer = await held.connection.run(command, Math.max(1, timeoutMs));
	if (answer.isErr()) {
		held.member.noteFailure(sentAtMs);
		return err(answer.error.kind);
	}

	held.member.noteAnswer(answer.value.position);
	if (command.kind === 'read' || command.kind === 'write' || command.kind === 'execute') {
		held.member.noteLatency(timers.nowMs() - sentAtMs);
	}

	return ok(answer.value);
}

/** Closes a connection whose transaction state is unknown; the others to a silent endpoint may be silent as well. */
export function discard({member, connection}: HeldConnection, isSilent: boolean): void {
	member.pool.discard(connection);
	if (isSilent) {
		member.pool.closeIdle();
	}
}

/** As `runOn`, for a command that commits a write. */
export async function runCommitOn(held: HeldConnection, command: EndpointCommand, operation: LocalOperation, timers: TimerService): Promise<RunResult> {
	const pending = {sentAtMs: timers.nowMs()};
	held.member.pendingWrites.add(pending);
	const answer = await runOn(held, command, operation.deadlineMs - pending.sentAtMs, timers);
	held.member.pendingWrites.delete(pending);
	if (answer.isErr()) {
		held.member.noteWriteUnconfirmed(pending.sentAtMs);
	} else if (!answer.value.error) {
		held.member.noteWriteConfirmed(pending.sentAtMs);
		operation.group.noteCommit(held.member, pending.sentAtMs, answer.value.position);
	}

	return answer;
}
