import {
	isSeatLive, type OwnershipRecord, seatsPerDatabase, type TimerSubscription,
} from '@dogwoodthread/coordination';
import {type DirectoryOptions, type OwnershipQueries} from '../definitions.js';
import {type DatabaseDirectory} from './database-directory.js';

const checkIntervalMs = 500;

/** A holder must be gone this long before its seat is given away; a quick check would react to every flap. */
const replaceDelayMs = 1000;

/** Records that one proxy changes at a time, so that a failed failure domain does not swamp the platform. */
const maxConcurrent = 4;

/**
 * Replaces the holders that are gone in the records for which this proxy acts. One write for each
 * replacement; nothing is renewed.
 */
export class OwnershipKeeper {
	readonly #incompleteSinceMs = new Map<string, number>();
	readonly #busy = new Set<string>();
	#subscription: TimerSubscription | undefined;

	constructor(
		private readonly options: DirectoryOptions & {peers: OwnershipQueries; actingDatabases: () => string[]},
		private readonly directory: DatabaseDirectory,
	) {}

	start(): void {
		this.#subscription = this.options.timers.every(checkIntervalMs, () => {
			this.#check();
		});
	}

	stop(): void {
		this.#subscription?.cancel();
	}

	#check(): void {
		const nowMs = this.options.timers.nowMs();
		for (const database of this.options.actingDatabases()) {
			const entry = this.directory.entry(database);
			if (!entry || this.#isComplete(entry.ownership.record)) {
				this.#incompleteSinceMs.delete(database);
				continue;
			}

			const sinceMs = this.#incompleteSinceMs.get(database) ?? nowMs;
			this.#incompleteSinceMs.set(database, sinceMs);
			if (nowMs - sinceMs >= replaceDelayMs && this.#busy.size < maxConcurrent && !this.#busy.has(database)) {
				void this.#replace(database);
			}
		}
	}

	#isComplete({seats}: OwnershipRecord): boolean {
		const {membership} = this.options;
		const live = seats.filter(seat => isSeatLive(seat, membership)).length;
		const alive = membership.members().filter(({state}) => state === 'alive').length;
		return live >= Math.min(seatsPerDatabase, alive);
	}

	async #replace(database: string): Promise<void> {
		const {assignOwners, logger, peers, membership} = this.options;
		this.#busy.add(database);
		const assigned = await assignOwners.run(database);
		this.#busy.delete(database);
		if (assigned.isErr()) {
			logger.warn({
				event: 'owners-not-assigned', database, kind: assigned.error.kind, message: assigned.error.message,
			});
			return;
		}

		this.#incompleteSinceMs.delete(database);
		this.directory.accept(assigned.value, undefined);
		const {seats} = assigned.value.record;
		logger.info({
			event: 'owners-assigned', database, version: assigned.value.version, hosts: seats.map(({hostId}) => hostId),
		});
		for (const {peerAddress} of seats.filter(({hostId}) => hostId !== membership.self().hostId)) {
			void peers.announceOwnership(peerAddress, assigned.value, this.directory.entry(database)?.group);
		}
	}
}
