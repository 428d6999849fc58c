import {isSeatLive, type MembershipView, type TimerService} from '@dogwoodthread/coordination';
import {type PeerOwnershipClient} from '../definitions.js';
import {type DatabaseDirectory} from './database-directory.js';

/** How long an owner that did not answer counts as unresponsive; the failure detector has decided by then. */
const unresponsiveTtlMs = 2000;

/** Minimum interval between probes of the same owner. */
const minProbeIntervalMs = 250;

/**
 * Lets a standby owner act before the failure detector has declared the acting owner dead: requests that reach
 * the standby hint at a failure, and an acting owner that does not answer a direct query confirms it.
 */
export class OwnerLivenessProbe {
	readonly #unresponsiveUntilMs = new Map<string, number>();
	readonly #probedAtMs = new Map<string, number>();

	constructor(private readonly options: {
		directory: DatabaseDirectory; membership: MembershipView; peers: PeerOwnershipClient; timers: TimerService;
	}) {}

	isUnresponsive(hostId: string): boolean {
		return (this.#unresponsiveUntilMs.get(hostId) ?? 0) > this.options.timers.nowMs();
	}

	/** Probes the live owners that rank before this proxy, and so would act in its place. */
	async probeHigherRankedOwners(database: string): Promise<void> {
		const {directory, membership, peers, timers} = this.options;
		const self = membership.self();
		const seats = directory.findEntry(database)?.ownership.record.seats ?? [];
		const ownIndex = seats.findIndex(({hostId}) => hostId === self.hostId);
		const nowMs = timers.nowMs();
		const seatsToProbe = seats.slice(0, Math.max(0, ownIndex)).filter(seat =>
			isSeatLive(seat, membership) && nowMs - (this.#probedAtMs.get(seat.hostId) ?? -minProbeIntervalMs) >= minProbeIntervalMs);
		await Promise.all(seatsToProbe.map(async ({hostId, peerAddress}) => {
			this.#probedAtMs.set(hostId, nowMs);
			const answer = await peers.getOwnership(peerAddress, database);
			if (answer) {
				this.#unresponsiveUntilMs.delete(hostId);
			} else {
				this.#unresponsiveUntilMs.set(hostId, timers.nowMs() + unresponsiveTtlMs);
			}
		}));
	}
}
