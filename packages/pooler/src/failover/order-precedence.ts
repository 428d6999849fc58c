import {type TimerService} from '@dogwoodthread/coordination';
import {type Group} from '../group/index.js';
import {leaseDurationMs} from './promotion-lease.js';

/** For this long after this host first saw a group, its members may still report older terms, in ms: the timeout of a status request. */
const firstReportsMs = 800;

/**
 * The right of the host that has ordered a promotion to order the next one of the group. The lease is released once the
 * promotion has taken effect, but for as long as it would have lasted no other host may promote in the same group: hosts
 * with different views would replace each other's primaries in turn. A host learns of an order by the term that starts
 * with it, which it sees later than the order was given. Orders that it does not see are the matter of `UnseenOrders`.
 */
export class OrderPrecedence {
	/** Present term of each service, when this host first saw it, and when it first saw any, in monotonic ms. */
	readonly #terms = new Map<string, {term: number; seenAtMs: number; firstSeenAtMs: number}>();
	/** Latest term that this host has ordered, by service. */
	readonly #ownTerms = new Map<string, number>();

	constructor(private readonly timers: TimerService) {}

	/** Notes the present terms; to be called often, with all groups of this host. */
	observe(groups: readonly Group[]): void {
		const services = new Set(groups.map(({service}) => service));
		for (const service of [...this.#terms.keys()].filter(known => !services.has(known))) {
			this.#terms.delete(service);
		}

		const nowMs = this.timers.nowMs();
		for (const {service, term} of groups.filter(group => group.term > 0)) {
			const known = this.#terms.get(service);
			if (!known || term > known.term) {
				const firstSeenAtMs = known?.firstSeenAtMs ?? nowMs;
				// The first term that is seen may have started long ago; a host that has just started need not wait for it.
				const hasSeenStart = nowMs - firstSeenAtMs > firstReportsMs;
				this.#terms.set(service, {term, seenAtMs: hasSeenStart ? nowMs : Number.NEGATIVE_INFINITY, firstSeenAtMs});
			}
		}
	}

	/** Records that this host has ordered, or may have ordered, a promotion with which `term` starts. */
	recordOwnOrder(service: string, term: number): void {
		this.#ownTerms.set(service, term);
	}

	/** Remaining time in which only another host may order a promotion of the service, in ms; 0 if this host may. */
	remainingMs(service: string): number {
		const start = this.#terms.get(service);
		const isOwn = start !== undefined && start.term <= (this.#ownTerms.get(service) ?? 0);
		return start === undefined || isOwn ? 0 : Math.max(0, start.seenAtMs + leaseDurationMs - this.timers.nowMs());
	}
}
