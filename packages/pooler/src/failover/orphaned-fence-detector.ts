import {type Group, type Member} from '../group/index.js';
import {haveVotersAnswered} from './abandoned-term-detector.js';
import {mayBeReplaced} from './failover-reason.js';

/**
 * A fence that is still set after this time is orphaned: its promoter could not lift it or has ended, in ms. Longer than
 * a promotion takes to become visible, so that no fence is lifted before its term starts.
 */
const orphanedAfterMs = 3000;

/** Whether a replica receives nothing because it is fenced for a term that it has not joined. That term may already have started. */
const isFenced = ({status}: Member): boolean => status?.role === 'replica' && status.fencedTerm > status.term;

/**
 * Whether a replica whose fence is lifted can receive from no other primary than the present one, or a later one: no later
 * term was ordered, and it is in the present term or every other voter is; or every other one has joined the term of its
 * fence. The caller holds the lease and has asked all members since `sinceMs`.
 */
export function canLiftFence(member: Member, group: Group, {orderedTerm, voters}: {orderedTerm: number; voters: readonly string[]}, sinceMs: number): boolean {
	const {term, fencedTerm} = member.status!;
	const others = new Set([...voters, ...[...group.members.values()].map(({incarnation}) => incarnation)].filter(incarnation => incarnation !== member.incarnation));
	const haveOthersJoined = (minTerm: number) => haveVotersAnswered(group, [...others], {sinceMs, minTerm});
	return (orderedTerm <= group.term && (term === group.term || haveOthersJoined(group.term))) || haveOthersJoined(fencedTerm);
}

/** Finds replicas that stay fenced although their group has a primary and there is no reason to replace it. */
export class OrphanedFenceDetector {
	/** When the status request that first showed the fence was sent, in monotonic ms, by member. */
	readonly #firstSeenAtMs = new Map<Member, number>();

	/** Members whose fence still showed in a status requested more than `orphanedAfterMs` after the first one that showed it. */
	membersWithOrphanedFence(group: Group, nowMs: number): Member[] {
		const members = [...group.members.values()];
		const fenced = group.leader && !mayBeReplaced(group, nowMs) ? members.filter(member => isFenced(member)) : [];
		for (const member of [...this.#firstSeenAtMs.keys()].filter(known => known.endpoint.service === group.service && !fenced.includes(known))) {
			this.#firstSeenAtMs.delete(member);
		}

		for (const member of fenced.filter(found => !this.#firstSeenAtMs.has(found))) {
			this.#firstSeenAtMs.set(member, member.statusRequestedAtMs);
		}

		return fenced.filter(member => member.statusRequestedAtMs - this.#firstSeenAtMs.get(member)! > orphanedAfterMs);
	}
}
