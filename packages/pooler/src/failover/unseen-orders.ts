import {type TimerService} from '@dogwoodthread/coordination';
import {type PromotionRecord} from './promotion-record-store.js';

/** A promotion that was ordered gets this long to become visible here, in ms: as long as a lease lasts. */
const unseenOrderGraceMs = 4000;

/**
 * Promotions that other hosts have ordered and that this host does not see: it may not reach the new primary, or has not
 * heard of it yet. Without this, it would take the group for one without a primary as soon as the other host releases
 * the lease, and order a second promotion.
 */
export class UnseenOrders {
	readonly #firstSeen = new Map<string, {orderedTerm: number; atMs: number}>();

	constructor(private readonly timers: TimerService) {}

	/** Whether an order, of this host too, must still be given time. `seenTerm` is the highest term that a member has reported. */
	mustAwait(service: string, {orderedTerm}: PromotionRecord, seenTerm: number): boolean {
		if (orderedTerm <= seenTerm) {
			this.#firstSeen.delete(service);
			return false;
		}

		const nowMs = this.timers.nowMs();
		const known = this.#firstSeen.get(service);
		const firstSeen = known?.orderedTerm === orderedTerm ? known : {orderedTerm, atMs: nowMs};
		this.#firstSeen.set(service, firstSeen);
		return nowMs - firstSeen.atMs < unseenOrderGraceMs;
	}
}
