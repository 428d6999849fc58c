import {type Group, type Member} from '../group/index.js';
import {isLeaderIsolated} from './failover-reason.js';

/**
 * How long an isolation counts as evidence that two members do not reach each other, in ms, unless they are seen to reach
 * each other again. Longer than two promotions that do not help, so that their evidence counts together.
 */
const evidenceTtlMs = 12_000;

/**
 * Pairs of members that did not reach each other while one of them was the primary. A promotion of one of them does not
 * help if the other one would have to confirm its commits.
 */
export class BrokenLinks {
	/** When a pair was last seen isolated, in monotonic ms, by service and pair. */
	readonly #seenAtMs = new Map<string, Map<string, number>>();

	/** Takes the present state of a group into account. Must be called often enough to see each isolation. */
	observe(group: Group, nowMs: number): void {
		const {leader, service} = group;
		if (!leader) {
			return;
		}

		const links = this.#seenAtMs.get(service) ?? new Map<string, number>();
		const replicas = [...group.members.values()].filter(member => member !== leader);
		// The end of a partition concerns all its links, and most of them cannot be seen from the present primary.
		if (replicas.some(replica => hasReceivedSince(replica, leader, links.get(linkKey(leader, replica))))) {
			links.clear();
		}

		if (isLeaderIsolated(group, nowMs)) {
			// A fenced replica receives nothing, whether the primary reaches it or not.
			for (const replica of replicas.filter(({status}) => status!.fencedTerm <= status!.term)) {
				links.set(linkKey(leader, replica), nowMs);
			}
		}

		this.#seenAtMs.set(service, links);
	}

	isBroken(service: string, [a, b]: readonly [Member, Member], nowMs: number): boolean {
		const seenAtMs = this.#seenAtMs.get(service)?.get(linkKey(a, b));
		return seenAtMs !== undefined && nowMs - seenAtMs < evidenceTtlMs;
	}
}

const linkKey = (a: Member, b: Member): string => [a.id, b.id].toSorted().join(' ');

/** Whether a replica has received log of the present primary's term since `sinceMs`. */
const hasReceivedSince = (replica: Member, leader: Member, sinceMs: number | undefined): boolean =>
	sinceMs !== undefined
	&& replica.receivedAdvancedAtMs > sinceMs
	&& replica.status?.role === 'replica'
	&& replica.status.received.term === leader.status?.term;
