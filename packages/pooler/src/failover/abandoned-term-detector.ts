import {type Group, type Member} from '../group/index.js';
import {mayBeReplaced} from './failover-reason.js';
import {leaseExpiryMs} from './promotion-lease.js';

/**
 * Finds groups for which a term stays announced although it has not started: its promoter has ended. While it stands, no
 * voter can be added or removed.
 */
export class AbandonedTermDetector {
	/** When this host first saw the announcement, in monotonic ms, by service. */
	readonly #firstSeen = new Map<string, {announcedTerm: number; atMs: number}>();

	/** Whether the announcement has stood for longer than a lease lasts, beside a primary that need not be replaced. */
	isDue(group: Group, nowMs: number): boolean {
		const {announcedTerm} = group.voters;
		if (announcedTerm <= group.term || !group.leader || mayBeReplaced(group, nowMs)) {
			this.#firstSeen.delete(group.service);
			return false;
		}

		const known = this.#firstSeen.get(group.service);
		if (known?.announcedTerm !== announcedTerm) {
			this.#firstSeen.set(group.service, {announcedTerm, atMs: nowMs});
			return false;
		}

		return nowMs - known.atMs > leaseExpiryMs;
	}

	restart({service, voters}: Group, nowMs: number): void {
		this.#firstSeen.set(service, {announcedTerm: voters.announcedTerm, atMs: nowMs});
	}
}

/** What a promotion record says about orders. */
export type NotedOrder = {orderedTerm: number; orderedMember: string; voters: readonly string[]};

/**
 * Whether no term above the present one can have started: none was ordered, or every voter has answered since `sinceMs`
 * in the present term at most. One that has ended may be left out unless it was to lead the ordered term: it may have
 * done so. The caller holds the lease.
 */
export function isPresentTermLatest(group: Group, {orderedTerm, orderedMember, voters}: NotedOrder, sinceMs: number): boolean {
	const hasCandidateEnded = group.voters.hasEnded(orderedMember, group.nowMs);
	return group.leader !== undefined && (orderedTerm <= group.term || (!hasCandidateEnded && haveVotersAnswered(group, voters, {sinceMs, minTerm: 0})));
}

/** Whether each of the voters has ended, or is a member that has answered since `sinceMs` in `minTerm` or a later term. */
export function haveVotersAnswered({members, voters: voterSet, nowMs}: Group, voters: readonly string[], {sinceMs, minTerm}: {sinceMs: number; minTerm: number}): boolean {
	const answered = [...members.values()].filter(member => hasAnswered(member, sinceMs) && member.status!.term >= minTerm);
	return voters.every(voter => voterSet.hasEnded(voter, nowMs) || answered.some(({incarnation}) => incarnation === voter));
}

const hasAnswered = ({status, statusRequestedAtMs}: Member, sinceMs: number): boolean => status !== undefined && statusRequestedAtMs >= sinceMs;
