import {type LogPosition} from '@dogwoodthread/coordination';
import {type Group, type Member} from '../group/index.js';

export type ReaderRequest = {
	group: Group;
	/** Position that the reader's log must have. */
	after: LogPosition;
	nowMs: number;
	failureDomain: string;
	/** Members that already failed this read. */
	excluded: ReadonlySet<string>;
};

/** Reads at the primary take slots from writes, which can go nowhere else. */
const primaryCostFactor = 1.5;
/** A statement in another failure domain costs the bytes between them. */
const remoteCostFactor = 1.1;
/** A replica that is believed to lag is asked again when the belief is older than this, in ms. */
const laggingBeliefMs = 150;
/** A member that answers nothing for this long gets no reads while another can serve them, in ms. */
const failingMs = 300;

/**
 * Least-loaded choice among the members that have the position, and among those that may have it by now if
 * there are none. Answers the pattern of reads that crowd the primary while replicas are idle.
 */
export function chooseReader(request: ReaderRequest): Member | undefined {
	const {group, after, nowMs, excluded} = request;
	const usable = [...group.members.values()].filter(member => !excluded.has(member.id) && isUsable(member, nowMs));
	const current = usable.filter(member => member === group.leader || member.hasApplied(after) || nowMs - member.appliedAtMs > laggingBeliefMs);
	return current.toSorted((a, b) => costOf(a, request) - costOf(b, request))[0];
}

function isUsable(member: Member, nowMs: number): boolean {
	return member.endpoint.state === 'ready'
		&& member.missingSinceMs === undefined
		&& member.avoidedUntilMs <= nowMs
		&& member.failingForMs(nowMs) < failingMs;
}

function costOf(member: Member, {group, failureDomain}: ReaderRequest): number {
	const load = member.pool.inUseCount + member.pool.waitingCount + 1;
	const primaryFactor = member === group.leader ? primaryCostFactor : 1;
	const remoteFactor = member.endpoint.failureDomain === failureDomain ? 1 : remoteCostFactor;
	return load * member.latencyMs * primaryFactor * remoteFactor;
}
