import {isSeatLive, type MembershipView, type TimerService} from '@dogwoodthread/coordination';
import {type OwnershipQueries} from '../definitions.js';
import {type DatabaseDirectory} from './database-directory.js';

/** How long a holder that did not answer is passed over; the failure detector has decided by then. */
const unresponsiveMs = 2000;

/** How long a holder that answered is not asked again. */
const responsiveMs = 250;

/**
 * Lets a standby act before the failure detector has declared the acting owner dead: requests that reach
 * the standby are a hint, and an acting owner that does not answer a direct question confirms it.
 */
export class HolderCheck {
	readonly #unresponsiveUntilMs = new Map<string, number>();
	readonly #askedAtMs = new Map<string, number>();

	constructor(private readonly options: {
		directory: DatabaseDirectory; membership: MembershipView; peers: OwnershipQueries; timers: TimerService;
	}) {}

	isUnresponsive(hostId: string): boolean {
		return (this.#unresponsiveUntilMs.get(hostId) ?? 0) > this.options.timers.nowMs();
	}

	/** Asks the holders that would act before this proxy whether they are there. */
	async check(database: string): Promise<void> {
		const {directory, membership, peers, timers} = this.options;
		const self = membership.self();
		const seats = directory.entry(database)?.ownership.record.seats ?? [];
		const ownPlace = seats.findIndex(({hostId}) => hostId === self.hostId);
		const nowMs = timers.nowMs();
		const toAsk = seats.slice(0, Math.max(0, ownPlace)).filter(seat =>
			isSeatLive(seat, membership) && nowMs - (this.#askedAtMs.get(seat.hostId) ?? -responsiveMs) >= responsiveMs);
		await Promise.all(toAsk.map(async ({hostId, peerAddress}) => {
			this.#askedAtMs.set(hostId, nowMs);
			const answer = await peers.getOwnership(peerAddress, database);
			if (answer) {
				this.#unresponsiveUntilMs.delete(hostId);
			} else {
				this.#unresponsiveUntilMs.set(hostId, timers.nowMs() + unresponsiveMs);
			}
		}));
	}
}
