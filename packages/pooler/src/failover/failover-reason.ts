import {comparePositions} from '@dogwoodthread/coordination';
import {type Group, type Member} from '../group/index.js';
import {type BrokenLinks} from './broken-links.js';
import {type FailoverReason} from './definitions.js';

/** How long a primary must be unreachable, and its replicas must receive nothing, before it is replaced, in ms. */
export const detectionMs = 1000;
/** How long a group may be without a known primary before one is promoted, in ms. A newly discovered group needs time to show it. */
const missingLeaderGraceMs = 1500;
/** Maximum age of a status request whose answer is used as evidence for a failover, in ms. */
const maxStatusAgeMs = 900;

/** Why the primary of a group should be replaced; undefined if it should not, or if a promotion cannot help. */
export function failoverReason(group: Group, nowMs: number, brokenLinks?: BrokenLinks): FailoverReason | undefined {
	const {leader} = group;
	const replicas = answeringReplicas(group, nowMs);
	if (replicas.length === 0) {
		return undefined;
	}

	if (!leader) {
		const sinceMs = group.leaderlessSinceMs ?? nowMs;
		return nowMs - sinceMs > missingLeaderGraceMs && isReplicationStopped(replicas, nowMs) ? 'leader-missing' : undefined;
	}

	if (leader.endpoint.state === 'draining' && leader.failingForMs(nowMs) === 0) {
		return replicas.some(({endpoint}) => endpoint.state === 'ready') ? 'leader-draining' : undefined;
	}

	if (leader.failingForMs(nowMs) > detectionMs) {
		return isReplicationStopped(replicas, nowMs) ? 'leader-unreachable' : undefined;
	}

	return isLeaderIsolated(group, nowMs) && canSuccessorConfirm(group, replicas, nowMs, brokenLinks) ? 'leader-isolated' : undefined;
}

/**
 * Whether a promoter may rely on fences of the group. Not so beside a primary that answers and whose replicas receive
 * nothing: fences that have outlasted their promoter have the same effect.
 */
export function mayBeReplaced(group: Group, nowMs: number): boolean {
	const reason = failoverReason(group, nowMs);
	return reason !== undefined && reason !== 'leader-isolated';
}

/** Whether the primary has writes that none of its replicas receives. Needs a recent status of every replica. */
export function isLeaderIsolated(group: Group, nowMs: number): boolean {
	const {leader} = group;
	const replicas = answeringReplicas(group, nowMs);
	return leader?.status !== undefined
		&& replicas.length > 0
		&& replicas.length === group.members.size - 1
		&& nowMs - leader.statusRequestedAtMs < maxStatusAgeMs
		&& replicas.every(({status}) => comparePositions(leader.status!.received, status!.received) > 0)
		&& isReplicationStopped(replicas, nowMs);
}

const answeringReplicas = ({leader, members}: Group, nowMs: number): Member[] =>
	[...members.values()].filter(member => member !== leader && nowMs - member.statusRequestedAtMs < maxStatusAgeMs && member.status?.role === 'replica');

/** Whether no replica receives commits. If one does, the primary serves other hosts, even if this host cannot reach it. */
const isReplicationStopped = (replicas: readonly Member[], nowMs: number): boolean =>
	replicas.every(({receivedAdvancedAtMs}) => nowMs - receivedAdvancedAtMs > detectionMs);

/**
 * Whether a successor of an isolated primary could confirm commits. Only a replica with the longest log may be promoted,
 * and it needs other replicas that receive its commits: the present primary does not reach it. So a group of two, or one
 * whose remaining members were isolated from each other before, is not helped by a promotion.
 */
function canSuccessorConfirm({service, limits}: Group, replicas: readonly Member[], nowMs: number, brokenLinks?: BrokenLinks): boolean {
	const successors = replicas.filter(({status}) => replicas.every(other => comparePositions(status!.received, other.status!.received) >= 0));
	return successors.some(successor => {
		const receivers = replicas.filter(other => other !== successor && !brokenLinks?.isBroken(service, [successor, other], nowMs));
		return receivers.length >= limits.syncReplicas;
	});
}
