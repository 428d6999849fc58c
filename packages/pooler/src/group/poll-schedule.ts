import {type Member} from './member.js';

/** A primary is polled after this time without an answer or a poll, in ms. Polls are kept rare because every status request is charged. */
const idleLeaderPollMs = 1000;
/** As `idleLeaderPollMs`, for a replica. */
const idleReplicaPollMs = 2500;
/** Interval between polls of each member while the primary is suspected of a failure, in ms. */
const suspectedLeaderPollIntervalMs = 200;
/** Interval between polls of a replica that does not answer, in ms. */
const failingReplicaPollIntervalMs = 500;
/** A primary that leaves a write unanswered for longer than this is suspected of a failure, in ms. */
const slowWriteMs = 500;

/** Whether the primary is unknown or shows signs of a failure, so that all members are polled more often. */
export const isLeaderSuspected = (leader: Member | undefined, nowMs: number): boolean =>
	!leader || leader.failingForMs(nowMs) > 0 || leader.stalledForMs(nowMs) > slowWriteMs;

/** Whether a member must be polled for its status. Answers to statements show that it works and postpone the poll. */
export function isPollDue(member: Member, leader: Member | undefined, nowMs: number): boolean {
	const sincePollMs = nowMs - member.lastPollAtMs;
	if (isLeaderSuspected(leader, nowMs)) {
		return sincePollMs >= suspectedLeaderPollIntervalMs;
	}

	if (member.failingForMs(nowMs) > 0) {
		return sincePollMs >= failingReplicaPollIntervalMs;
	}

	const idleMs = nowMs - Math.max(member.lastAnswerAtMs, member.lastPollAtMs);
	return idleMs > (member === leader ? idleLeaderPollMs : idleReplicaPollMs);
}
