import {type LogPosition, maxPosition, type TimerService, zeroPosition} from '@dogwoodthread/coordination';
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
	group: Group;
	session: SessionState;
	arrivedAtMs: number;
	deadlineMs: number;
	/** Attempts that ended without running, for the log. */
	attempts: number;
};

/** A connection held for an operation. */
export type HeldConnection = {member: Member; connection: PooledConnection};

/** The data of a bounded read may be older by this much than asked for at most, less, in ms. */
const stalenessMarginMs = 50;
/** A primary that is leaving gets no new work this long after its notice, in ms; the promotion has this long. */
const drainingPrimaryGraceMs = 4000;

/** Position that a read must see, by the route's consistency; `undefined` if none is known in time. */
export async function requiredPosition({route, group, session, arrivedAtMs, deadlineMs}: Operation): Promise<LogPosition | undefined> {
	const sinceMs = arrivedAtMs - Math.max(0, route.maxStalenessMs - stalenessMarginMs);
	const bound = await group.awaitBoundSince(sinceMs, deadlineMs);
	if (!bound) {
		return undefined;
	}

	const own = route.consistency === 'read-your-writes' ? session.committed ?? zeroPosition : zeroPosition;
	return maxPosition(bound, own);
}

/**
 * The primary, once there is one. Waits for a promotion that is under way: it is over within the statement's
 * time more often than not, and the client has few repeats.
 */
export async function awaitLeader({group, deadlineMs}: Operation, timers: TimerService): Promise<Member | undefined> {
	for (;;) {
		const {leader} = group;
		const nowMs = timers.nowMs();
		if (leader && isUsableLeader(leader, nowMs)) {
			return leader;
		}

		if (nowMs >= deadlineMs || group.members.size === 0) {
			return undefined;
		}

		// eslint-disable-next-line no-await-in-loop
		await group.waitForChange(Math.min(100, deadlineMs - nowMs));
	}
}

const isUsableLeader = (leader: Member, nowMs: number): boolean =>
	leader.endpoint.state === 'ready' || leader.drainingForMs(nowMs) < drainingPrimaryGraceMs;

/** A connection to the primary, for writes, transactions and reads that must see every commit. */
export async function acquireLeader(operation: Operation, context: OperationContext): Promise<Result<HeldConnection, StatementFailure>> {
	const leader = await awaitLeader(operation, context.timers);
	if (!leader) {
		return err(statementFailure('leader-unknown'));
	}

	return acquireFrom(leader, operation, context);
}

export async function acquireFrom(member: Member, operation: Operation, context: OperationContext): Promise<Result<HeldConnection, StatementFailure>> {
	const startedMs = context.timers.nowMs();
	const acquired = await member.pool.acquire({priority: operation.route.priority, deadlineMs: operation.deadlineMs});
	context.metrics.stage(operation.route.consistency, 'waiting', context.timers.nowMs() - startedMs);
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
	operation: Operation,
	after: LogPosition,
	excluded: ReadonlySet<string>,
	context: OperationContext,
): Promise<Result<HeldConnection, StatementFailure>> {
	const member = chooseReader({
		group: operation.group, after, nowMs: context.timers.nowMs(), failureDomain: context.failureDomain, excluded,
	});
	return member ? acquireFrom(member, operation, context) : err(statementFailure('no-reader'));
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
export async function runCommitOn(held: HeldConnection, command: EndpointCommand, operation: Operation, timers: TimerService): Promise<RunResult> {
	const pending = {sentAtMs: timers.nowMs()};
	held.member.pendingWrites.add(pending);
	const answer = await runOn(held, command, operation.deadlineMs - pending.sentAtMs, timers);
	held.member.pendingWrites.delete(pending);
	if (answer.isOk() && !answer.value.error) {
		operation.group.noteCommit(held.member, pending.sentAtMs, answer.value.position);
	}

	return answer;
}
