import {
	findActingSeat, type GroupRecord, type OwnerSeat, parseGroupRecord, rankByRendezvous, type VersionedOwnership,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {
	type ActingOwner, type DatabaseEntry, type DirectoryError, type DirectoryOptions, type EntryChangeListener,
} from '../definitions.js';

/** Number of peers, chosen by rendezvous hashing, that are asked about a database before the platform. */
const rankedPeersToQuery = 3;

/** How long a "no such database" answer is cached, so that requests for unknown names put little load on the platform. */
const unknownDatabaseTtlMs = 2000;

/** How long other owners are preferred to a host that does not act or cannot be reached. */
const avoidanceMs = 1000;

/**
 * Caches the owners of the databases that this proxy's callers use. Asks peers first, and the platform only when
 * no peer can name a live owner.
 */
export class DatabaseDirectory {
	readonly #entries = new Map<string, DatabaseEntry>();
	readonly #unknownDatabaseUntilMs = new Map<string, number>();
	readonly #avoidedUntilMs = new Map<string, number>();
	readonly #pendingRefreshes = new Map<string, Promise<Result<ActingOwner, DirectoryError>>>();
	readonly #listeners: EntryChangeListener[] = [];

	constructor(private readonly options: DirectoryOptions) {}

	/** Calls the listener whenever a newer ownership record of a database is applied. */
	onEntryChange(listener: EntryChangeListener): void {
		this.#listeners.push(listener);
	}

	findEntry(database: string): DatabaseEntry | undefined {
		return this.#entries.get(database);
	}

	/** Finds the proxy that acts for the database, as known to this proxy; looks it up if none is known. */
	async findActingOwner(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		const known = this.#findKnownActingOwner(database);
		return known ? ok(known) : this.refresh(database);
	}

	/** Prefers other owners for a while to a host that does not act or cannot be reached. */
	avoidTemporarily(database: string, hostId: string): void {
		this.#avoidedUntilMs.set(`${database}\0${hostId}`, this.options.timers.nowMs() + avoidanceMs);
	}

	/** Asks peers and, if they know no live owner, the platform. Concurrent calls for a database share one lookup. */
	async refresh(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		const pendingRefresh = this.#pendingRefreshes.get(database);
		if (pendingRefresh) {
			return pendingRefresh;
		}

		const refresh = this.#lookUpActingOwner(database);
		this.#pendingRefreshes.set(database, refresh);
		try {
			return await refresh;
		} finally {
			this.#pendingRefreshes.delete(database);
		}
	}

	/** Applies an ownership record if it is newer than the known one. */
	applyIfNewer(ownership: VersionedOwnership, group: GroupRecord | undefined): void {
		const {database} = ownership.record;
		const known = this.#entries.get(database);
		const members = group ?? known?.group;
		if (!members || (known && known.ownership.version >= ownership.version)) {
			return;
		}

		const entry = {ownership, group: members};
		this.#entries.set(database, entry);
		for (const listener of this.#listeners) {
			listener(database, entry);
		}
	}

	async #lookUpActingOwner(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		await this.#queryPeers(database);
		const known = this.#findKnownActingOwner(database);
		return known ? ok(known) : this.#queryPlatform(database);
	}

	async #queryPeers(database: string): Promise<void> {
		const {membership, peers} = this.options;
		const alive = membership.members().filter(({state, hostId}) => state === 'alive' && hostId !== membership.self().hostId);
		const ownerAddresses = this.#entries.get(database)?.ownership.record.seats.map(({peerAddress}) => peerAddress) ?? [];
		const rankedAddresses = rankByRendezvous(database, alive).slice(0, rankedPeersToQuery).map(({peerAddress}) => peerAddress);
		const selfAddress = membership.self().peerAddress;
		const addresses = [...new Set([...ownerAddresses, ...rankedAddresses])].filter(address => address !== selfAddress);
		const answers = await Promise.all(addresses.map(async address => peers.getOwnership(address, database)));
		for (const answer of answers) {
			if (answer?.ownership) {
				this.applyIfNewer(answer.ownership, answer.group);
			}
		}
	}

	async #queryPlatform(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		const {platform, assignOwners, timers, logger} = this.options;
		if ((this.#unknownDatabaseUntilMs.get(database) ?? 0) > timers.nowMs()) {
			return unknownDatabase(database);
		}

		const group = await platform.get('groups', database);
		if (group.isErr()) {
			if (group.error.kind !== 'not-found') {
				return noActingOwner(database, group.error.message);
			}

			this.#unknownDatabaseUntilMs.set(database, timers.nowMs() + unknownDatabaseTtlMs);
			return unknownDatabase(database);
		}

		const record = parseGroupRecord(group.value.value);
		if (record.isErr()) {
			logger.error({event: 'group-record-damaged', database, message: record.error.message});
			return noActingOwner(database, record.error.message);
		}

		const assigned = await assignOwners.run(database);
		if (assigned.isErr()) {
			return noActingOwner(database, assigned.error.message);
		}

		this.applyIfNewer(assigned.value, record.value);
		const acting = this.#findKnownActingOwner(database);
		return acting ? ok(acting) : noActingOwner(database, 'No owner is live.');
	}

	#findKnownActingOwner(database: string): ActingOwner | undefined {
		const entry = this.#entries.get(database);
		if (!entry) {
			return undefined;
		}

		const {record} = entry.ownership;
		const preferred = {...record, seats: record.seats.filter(seat => !this.#isAvoided(database, seat))};
		const seat = findActingSeat(preferred, this.options.membership) ?? findActingSeat(record, this.options.membership);
		return seat && {seat, entry};
	}

	#isAvoided(database: string, {hostId}: OwnerSeat): boolean {
		return (this.#avoidedUntilMs.get(`${database}\0${hostId}`) ?? 0) > this.options.timers.nowMs();
	}
}

const unknownDatabase = (database: string) =>
	err<never, DirectoryError>({kind: 'unknown-database', message: `There is no database ${database}.`});

const noActingOwner = (database: string, reason: string) =>
	err<never, DirectoryError>({kind: 'no-acting-owner', message: `No proxy acts for ${database}: ${reason}`});
