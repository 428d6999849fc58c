import {type Member} from './member.js';

/** A primary that answered nothing for this long is asked, in ms. Every status request is charged. */
const quietLeaderMs = 1000;
/** The same for a replica. */
const quietReplicaMs = 2500;
/** Interval between status requests while there is doubt about the primary, in ms. */
const urgentStatusIntervalMs = 200;
/** Interval between status requests to a replica that does not answer, in ms. */
const failingReplicaIntervalMs = 500;
/** A write without an answer for this long is a reason for doubt, in ms. */
const slowWriteMs = 500;

/** Whether something speaks against the primary, so that all members are asked often. */
export const isLeaderInDoubt = (leader: Member | undefined, nowMs: number): boolean =>
	!leader || leader.failingForMs(nowMs) > 0 || leader.stalledForMs(nowMs) > slowWriteMs;

/** Whether a member must be asked for its status: seldom while its other answers tell enough. */
export function isPollDue(member: Member, leader: Member | undefined, nowMs: number): boolean {
	const sincePollMs = nowMs - member.lastPollAtMs;
	if (isLeaderInDoubt(leader, nowMs)) {
		return sincePollMs >= urgentStatusIntervalMs;
	}

	if (member.failingForMs(nowMs) > 0) {
		return sincePollMs >= failingReplicaIntervalMs;
	}

	const quietMs = nowMs - Math.max(member.lastAnswerAtMs, member.lastPollAtMs);
	return quietMs > (member === leader ? quietLeaderMs : quietReplicaMs);
}
