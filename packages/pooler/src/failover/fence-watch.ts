import {type Group, type Member} from '../group/index.js';
import {failoverReason} from './failover-reason.js';

/**
 * A fence that is still there after this time, in ms, has lost its promoter: it could not lift it, or ended. Longer
 * than an ordered promotion takes to show, so that no fence is lifted before the term that it is for.
 */
const lingeringMs = 3000;

/** Whether a replica receives nothing because of a term that it has not joined; the term may have begun without it. */
const isFenced = ({status}: Member): boolean => status?.role === 'replica' && status.fencedTerm > status.term;

/** Finds replicas that stay fenced although their group has a primary and no reason to replace it. */
export class FenceWatch {
	/** When each fence was first seen, in monotonic ms, by member. */
	readonly #seenSinceMs = new Map<Member, number>();

	/** Members whose fence lingers, by statuses that were asked for after it had to be gone. */
	lingering(group: Group, nowMs: number): Member[] {
		const members = [...group.members.values()];
		const fenced = group.leader && !failoverReason(group, nowMs) ? members.filter(member => isFenced(member)) : [];
		for (const member of [...this.#seenSinceMs.keys()].filter(known => known.endpoint.service === group.service && !fenced.includes(known))) {
			this.#seenSinceMs.delete(member);
		}

		for (const member of fenced.filter(found => !this.#seenSinceMs.has(found))) {
			this.#seenSinceMs.set(member, member.statusAskedAtMs);
		}

		return fenced.filter(member => member.statusAskedAtMs - this.#seenSinceMs.get(member)! > lingeringMs);
	}
}
