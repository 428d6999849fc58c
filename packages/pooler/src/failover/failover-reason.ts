import {comparePositions} from '@dogwoodthread/coordination';
import {type Group, type Member} from '../group/index.js';
import {type FailoverReason} from './definitions.js';

/** How long a primary must be unreachable, and its replicas receive nothing, before it is replaced, in ms. */
export const detectionMs = 1000;
/** A group that has just been learnt gets this long to show its primary, in ms. */
const missingLeaderMs = 1500;
/** Replicas must have been asked this recently for their silence to mean something, in ms. */
const freshStatusMs = 900;

/** Whether and why the primary of a group should be replaced. */
export function failoverReason(group: Group, nowMs: number): FailoverReason | undefined {
	const {leader} = group;
	const members = [...group.members.values()];
	const replicas = members.filter(member => member !== leader && nowMs - member.statusAskedAtMs < freshStatusMs && member.status?.role === 'replica');
	if (replicas.length === 0) {
		return undefined;
	}

	if (!leader) {
		const sinceMs = group.leaderlessSinceMs ?? nowMs;
		return nowMs - sinceMs > missingLeaderMs && hasNoProgress(replicas, nowMs) ? 'leader-missing' : undefined;
	}

	if (leader.endpoint.state === 'draining' && leader.failingForMs(nowMs) === 0) {
		return replicas.some(({endpoint}) => endpoint.state === 'ready') ? 'leader-draining' : undefined;
	}

	if (leader.failingForMs(nowMs) > detectionMs) {
		return hasNoProgress(replicas, nowMs) ? 'leader-unreachable' : undefined;
	}

	return isIsolated(leader, replicas, members.length, nowMs) ? 'leader-isolated' : undefined;
}

/** Replicas that receive commits have a primary that serves others, even if this host cannot reach it. */
const hasNoProgress = (replicas: readonly Member[], nowMs: number): boolean =>
	replicas.every(({receivedAdvancedAtMs}) => nowMs - receivedAdvancedAtMs > detectionMs);

/** The primary has written what none of its replicas receives, all of which were asked. */
function isIsolated(leader: Member, replicas: readonly Member[], groupSize: number, nowMs: number): boolean {
	return replicas.length === groupSize - 1
		&& leader.status !== undefined
		&& nowMs - leader.statusAskedAtMs < freshStatusMs
		&& replicas.every(({status}) => comparePositions(leader.status!.received, status!.received) > 0)
		&& hasNoProgress(replicas, nowMs);
}
