import {
	isSeatLive, type OwnershipRecord, seatsPerDatabase, type TimerSubscription,
} from '@dogwoodthread/coordination';
import {type DirectoryOptions, type PeerOwnershipClient} from '../definitions.js';
import {type DatabaseDirectory} from './database-directory.js';

const checkIntervalMs = 500;

/** How long an owner must be gone before its seat is reassigned; a shorter delay would react to every membership flap. */
const replacementDelayMs = 1000;

/** Ownership records that one proxy changes concurrently, so that the loss of a failure domain does not overload the platform. */
const maxConcurrentReplacements = 4;

/**
 * Reassigns the seats of lost owners, for the databases for which this proxy acts. Each replacement costs one write
 * to the platform; there are no renewals.
 */
export class OwnerReplacer {
	readonly #ownerMissingSinceMs = new Map<string, number>();
	readonly #replacing = new Set<string>();
	#subscription: TimerSubscription | undefined;

	constructor(
		private readonly options: DirectoryOptions & {peers: PeerOwnershipClient; actingDatabases: () => string[]},
		private readonly directory: DatabaseDirectory,
	) {}

	start(): void {
		this.#subscription = this.options.timers.every(checkIntervalMs, () => {
			this.#replaceMissingOwners();
		});
	}

	stop(): void {
		this.#subscription?.cancel();
	}

	#replaceMissingOwners(): void {
		const nowMs = this.options.timers.nowMs();
		for (const database of this.options.actingDatabases()) {
			const entry = this.directory.findEntry(database);
			if (!entry || this.#hasEnoughLiveOwners(entry.ownership.record)) {
				this.#ownerMissingSinceMs.delete(database);
				continue;
			}

			const sinceMs = this.#ownerMissingSinceMs.get(database) ?? nowMs;
			this.#ownerMissingSinceMs.set(database, sinceMs);
			if (nowMs - sinceMs >= replacementDelayMs && this.#replacing.size < maxConcurrentReplacements && !this.#replacing.has(database)) {
				void this.#replaceOwners(database);
			}
		}
	}

	#hasEnoughLiveOwners({seats}: OwnershipRecord): boolean {
		const {membership} = this.options;
		const liveSeatCount = seats.filter(seat => isSeatLive(seat, membership)).length;
		const aliveMemberCount = membership.members().filter(({state}) => state === 'alive').length;
		return liveSeatCount >= Math.min(seatsPerDatabase, aliveMemberCount);
	}

	async #replaceOwners(database: string): Promise<void> {
		const {assignOwners, logger, peers, membership} = this.options;
		this.#replacing.add(database);
		const assigned = await assignOwners.run(database);
		this.#replacing.delete(database);
		if (assigned.isErr()) {
			logger.warn({
				event: 'owners-not-assigned', database, kind: assigned.error.kind, message: assigned.error.message,
			});
			return;
		}

		this.#ownerMissingSinceMs.delete(database);
		this.directory.applyIfNewer(assigned.value, undefined);
		const {seats} = assigned.value.record;
		logger.info({
			event: 'owners-assigned', database, version: assigned.value.version, hosts: seats.map(({hostId}) => hostId),
		});
		for (const {peerAddress} of seats.filter(({hostId}) => hostId !== membership.self().hostId)) {
			void peers.announceOwnership(peerAddress, assigned.value, this.directory.findEntry(database)?.group);
		}
	}
}
