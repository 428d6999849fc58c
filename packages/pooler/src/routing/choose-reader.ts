import {type LogPosition} from '@dogwoodthread/coordination';
import {type Group, type Member} from '../group/index.js';

export type ReaderRequest = {
	group: Group;
	/** Log position that the reader must have applied. */
	minPosition: LogPosition;
	nowMs: number;
	failureDomain: string;
	/** Members that already failed this read. */
	excluded: ReadonlySet<string>;
};

/** Cost factor of the primary: reads there take slots from writes, which can run nowhere else. */
const primaryCostFactor = 1.5;
/** Cost factor of another failure domain, for the network traffic between domains. */
const crossDomainCostFactor = 1.1;
/** A replica that was last seen lagging is a candidate again when that observation is older than this, in ms. */
const laggingRecheckMs = 150;
/** A member that has not answered for this long gets no reads until it answers a status request, even if no other one is left, in ms. */
const maxFailingMs = 300;

/**
 * Chooses the least-loaded usable member among the primary, the members that have applied the position and those last
 * seen behind long enough ago that they may have applied it by now. Prevents reads from overloading the primary while
 * replicas are idle.
 */
export function chooseReader(request: ReaderRequest): Member | undefined {
	const {group, minPosition, nowMs, excluded} = request;
	const usable = [...group.members.values()].filter(member => !excluded.has(member.id) && isUsable(member, nowMs));
	const candidates = usable.filter(member => member === group.leader || member.hasApplied(minPosition) || nowMs - member.appliedAtMs > laggingRecheckMs);
	return candidates.toSorted((a, b) => costOf(a, request) - costOf(b, request))[0];
}

function isUsable(member: Member, nowMs: number): boolean {
	return member.endpoint.state === 'ready'
		&& member.missingSinceMs === undefined
		&& member.avoidedUntilMs <= nowMs
		&& member.failingForMs(nowMs) < maxFailingMs;
}

function costOf(member: Member, {group, failureDomain}: ReaderRequest): number {
	const load = member.pool.inUseCount + member.pool.waitingCount + 1;
	const primaryFactor = member === group.leader ? primaryCostFactor : 1;
	const remoteFactor = member.endpoint.failureDomain === failureDomain ? 1 : crossDomainCostFactor;
	return load * member.latencyMs * primaryFactor * remoteFactor;
}
