import {
	type LogPosition, maxPosition, type TimerService, zeroPosition,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type Route} from '../catalog/index.js';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type Group, type Member} from '../group/index.js';
import {type EventLog, type PoolerMetrics} from '../observability/index.js';
import {type ConnectionLease} from '../pool/index.js';
import {chooseReader} from '../routing/index.js';
import {statementFailure, type StatementFailure} from './errors.js';
import {type SessionState} from './session-state.js';

/** Services of the daemon that statements use. */
export type OperationContext = {
	timers: TimerService;
	events: EventLog;
	metrics: PoolerMetrics;
	failureDomain: string;
};

/** A statement in progress, inside or outside a transaction. Times are monotonic, in ms. */
export type Operation = {
	id: string;
	route: Route;
	session: SessionState;
	arrivedAtMs: number;
	deadlineMs: number;
	progress: OperationProgress;
	/** Whether another host may run the statement; then it does not wait long for what this host may never reach. */
	mayMove?: boolean;
};

/** Progress of a statement, for the log. Copies of an operation share the same object. */
export type OperationProgress = {
	/** Number of attempts after which the statement was known not to have run. */
	attempts: number;
	/** Time spent on determining the log position that a reader must have applied, in ms. */
	positionMs: number;
	/** Time spent waiting for connections, in ms. */
	connectionMs: number;
};

export const createProgress = (): OperationProgress => ({attempts: 0, positionMs: 0, connectionMs: 0});

/** An operation that runs over this host's own connections. */
export type LocalOperation = Operation & {group: Group};

/** A connection that an operation has acquired from the pool of a member. */
export type HeldConnection = {member: Member; connection: ConnectionLease};

/** Subtracted from a route's staleness limit before the required position is determined, in ms. */
const stalenessSafetyMarginMs = 50;

/** How long a statement that may move to another host waits for a usable primary or a log position, in ms. Usual waits take less than 100 ms. */
const maxWaitBeforeMoveMs = 400;

/** Monotonic time until which the statement waits for a usable primary or a log position at this host. */
const waitDeadlineMs = ({deadlineMs, mayMove}: LocalOperation, nowMs: number): number =>
	mayMove ? Math.min(deadlineMs, nowMs + maxWaitBeforeMoveMs) : deadlineMs;

/** Waits for the log position that a read must see under the route's consistency; `undefined` if it is not known by the deadline. */
export async function awaitRequiredPosition(operation: LocalOperation, timers: TimerService): Promise<LogPosition | undefined> {
	const {
		route, group, session, arrivedAtMs, progress,
	} = operation;
	const startedMs = timers.nowMs();
	const sinceMs = arrivedAtMs - Math.max(0, route.maxStalenessMs - stalenessSafetyMarginMs);
	const commitBound = await group.awaitCommitBoundAt(sinceMs, waitDeadlineMs(operation, startedMs));
	progress.positionMs += timers.nowMs() - startedMs;
	if (!commitBound) {
		return undefined;
	}

	const sessionPosition = route.consistency === 'read-your-writes' ? session.lastCommitPosition ?? zeroPosition : zeroPosition;
	return maxPosition(commitBound, sessionPosition);
}

/**
 * Waits for a primary that confirms writes. If a promotion is possible, waits for it, because it usually completes
 * before the statement's deadline and clients retry only a few times. If no replica answers, none can be promoted,
 * and the statement is refused at once.
 */
export async function awaitWritableLeader(operation: LocalOperation, timers: TimerService): Promise<Result<Member, StatementFailure>> {
	const {group} = operation;
	const deadlineMs = waitDeadlineMs(operation, timers.nowMs());
	for (;;) {
		const {leader} = group;
		const nowMs = timers.nowMs();
		const isStalled = group.isLeaderStalled(nowMs);
		// While the primary is stalled, one write at a time is let through to probe whether it confirms again.
		if (leader && group.canAcceptStatements(leader, nowMs) && (!isStalled || leader.pendingWrites.size === 0)) {
			return ok(leader);
		}

		if (isStalled && !group.isPromotionPossible(nowMs)) {
			return err(statementFailure('leader-stalled'));
		}

		if (nowMs >= deadlineMs || group.members.size === 0) {
			return err(statementFailure('leader-unknown'));
		}

		await group.waitForChange(Math.min(100, deadlineMs - nowMs));
	}
}

/** Waits for a proof that no promotion took effect before the statement arrived. */
export async function proveLeadership(operation: LocalOperation, timers: TimerService): Promise<boolean> {
	return operation.group.proveLeadership(operation.arrivedAtMs, waitDeadlineMs(operation, timers.nowMs()));
}

/** Acquires a connection to the primary, for writes, transactions and reads that must see every commit. */
export async function acquireLeaderConnection(operation: LocalOperation, context: OperationContext): Promise<Result<HeldConnection, StatementFailure>> {
	const leader = await awaitWritableLeader(operation, context.timers);
	return leader.isErr() ? err(leader.error) : acquireMemberConnection(leader.value, operation, context);
}

export async function acquireMemberConnection(member: Member, operation: LocalOperation, context: OperationContext): Promise<Result<HeldConnection, StatementFailure>> {
	const startedMs = context.timers.nowMs();
	const acquired = await member.pool.acquire({priority: operation.route.priority, deadlineMs: operation.deadlineMs});
	const waitedMs = context.timers.nowMs() - startedMs;
	operation.progress.connectionMs += waitedMs;
	context.metrics.recordStageDuration(operation.route.consistency, 'waiting', waitedMs);
	return acquired
		.map(connection => ({member, connection}))
		.mapErr(({kind}) => {
			if (kind === 'unreachable') {
				member.recordFailure(startedMs);
			}

			return statementFailure(kind === 'unreachable' ? 'endpoint-unreachable' : 'no-connection');
		});
}

/** Acquires a connection to the least-loaded member that may have applied `minPosition`. A member whose pool gives none is added to `excluded`. */
export async function acquireReaderConnection(
	operation: LocalOperation,
	minPosition: LogPosition,
	excluded: Set<string>,
	context: OperationContext,
): Promise<Result<HeldConnection, StatementFailure>> {
	const member = chooseReader({
		group: operation.group, minPosition, nowMs: context.timers.nowMs(), failureDomain: context.failureDomain, excluded,
	});
	if (!member) {
		return err(statementFailure('no-reader'));
	}

	const acquired = await acquireMemberConnection(member, operation, context);
	if (acquired.isErr()) {
		excluded.add(member.id);
	}

	return acquired;
}

/** Result of one command: the answer, or the reason why there is none. */
export type CommandResult = Result<EndpointAnswer, 'lost' | 'silent'>;

/** Runs a command on a held connection and records the member's log position, latency or failure. */
export async function runCommand(held: HeldConnection, command: EndpointCommand, timeoutMs: number, timers: TimerService): Promise<CommandResult> {
	const sentAtMs = timers.nowMs();
	const endRequest = held.member.trackRequest();
	const answer = await held.connection.run(command, Math.max(1, timeoutMs));
	endRequest();
	if (answer.isErr()) {
		if (answer.error.kind === 'lease-ended') {
			// Nothing was sent, which says nothing about the member. What the caller had sent before ended with its transaction.
			return err('lost');
		}

		held.member.recordFailure(sentAtMs);
		return err(answer.error.kind);
	}

	if (answer.value.isUnsent) {
		// No sign of life of the member.
		return ok(answer.value);
	}

	held.member.recordAnswer(answer.value.position);
	if (command.kind === 'read' || command.kind === 'write' || command.kind === 'execute') {
		held.member.recordLatency(timers.nowMs() - sentAtMs);
	}

	return ok(answer.value);
}

/** Closes a connection whose transaction state is unknown. If it timed out, closes the pool's idle connections too, since they may be unresponsive as well. */
export function discardConnection({member, connection}: HeldConnection, isSilent: boolean): void {
	member.pool.discard(connection);
	if (isSilent) {
		member.pool.closeIdle();
	}
}

/** Answer to a command that commits a write, and when the command was sent. */
export type CommitAnswer = {answer: CommandResult; sentAtMs: number};

/** Like `runCommand`, for a command that commits a write: also records that it is under way, and whether the primary left it unanswered. */
export async function runCommitCommand(held: HeldConnection, command: EndpointCommand, operation: LocalOperation, timers: TimerService): Promise<CommitAnswer> {
	const pending = {sentAtMs: timers.nowMs()};
	held.member.pendingWrites.add(pending);
	const answer = await runCommand(held, command, operation.deadlineMs - pending.sentAtMs, timers);
	held.member.pendingWrites.delete(pending);
	if (answer.isErr()) {
		held.member.recordWriteUnconfirmed(pending.sentAtMs);
	}

	return {answer, sentAtMs: pending.sentAtMs};
}

/**
 * Waits until a commit that the primary has acknowledged is certain to survive a promotion. If it is not by the deadline,
 * its outcome is unknown.
 */
export async function confirmCommit(leader: Member, commit: {sentAtMs: number; position: LogPosition | undefined}, operation: LocalOperation): Promise<boolean> {
	const {sentAtMs, position} = commit;
	const pending = {sentAtMs};
	leader.pendingWrites.add(pending);
	const {group, deadlineMs} = operation;
	const isConfirmed = position === undefined ? group.limits.syncReplicas === 0 : await group.confirmCommit(leader, position, deadlineMs);
	leader.pendingWrites.delete(pending);
	if (isConfirmed) {
		leader.recordWriteConfirmed(sentAtMs);
	} else {
		leader.recordWriteUnconfirmed(sentAtMs);
	}

	if (isConfirmed && position) {
		group.recordCommit(leader, sentAtMs, position);
	}

	return isConfirmed;
}
