import {
	findActingSeat, type GroupRecord, type OwnerSeat, parseGroupRecord, rankByRendezvous, type VersionedOwnership,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {
	type ActingOwner, type DatabaseEntry, type DirectoryError, type DirectoryOptions, type EntryListener,
} from '../definitions.js';

/** Peers asked for a database before the platform is. */
const peersAsked = 3;

/** How long an answer "no such database" is believed, so that nonsense names cost the platform little. */
const unknownValidMs = 2000;

/** How long a host that said it does not act is passed over. */
const passOverMs = 1000;

/**
 * Knows the owners of the databases that this proxy's callers use. Asks peers before the platform,
 * and the platform only when peers cannot name an owner that is live.
 */
export class DatabaseDirectory {
	readonly #entries = new Map<string, DatabaseEntry>();
	readonly #unknownUntilMs = new Map<string, number>();
	readonly #passedOverUntilMs = new Map<string, number>();
	readonly #refreshes = new Map<string, Promise<Result<ActingOwner, DirectoryError>>>();
	readonly #listeners: EntryListener[] = [];

	constructor(private readonly options: DirectoryOptions) {}

	/** Calls the listener whenever the record of a database changes. */
	onEntry(listener: EntryListener): void {
		this.#listeners.push(listener);
	}

	entry(database: string): DatabaseEntry | undefined {
		return this.#entries.get(database);
	}

	/** The proxy that acts for the database, by this proxy's view. */
	async findActing(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		const known = this.#acting(database);
		return known ? ok(known) : this.refresh(database);
	}

	/** Notes that a host does not act, or cannot be reached; others are tried before it for a while. */
	passOver(database: string, hostId: string): void {
		this.#passedOverUntilMs.set(`${database}\0${hostId}`, this.options.timers.nowMs() + passOverMs);
	}

	/** Asks peers and, if they know no live owner, the platform. Concurrent calls share one answer. */
	async refresh(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		const running = this.#refreshes.get(database);
		if (running) {
			return running;
		}

		const refresh = this.#refresh(database);
		this.#refreshes.set(database, refresh);
		try {
			return await refresh;
		} finally {
			this.#refreshes.delete(database);
		}
	}

	/** Takes over a record if it is newer than the known one. */
	accept(ownership: VersionedOwnership, group: GroupRecord | undefined): void {
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

	async #refresh(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		await this.#askPeers(database);
		const known = this.#acting(database);
		return known ? ok(known) : this.#askPlatform(database);
	}

	async #askPeers(database: string): Promise<void> {
		const {membership, peers} = this.options;
		const alive = membership.members().filter(({state, hostId}) => state === 'alive' && hostId !== membership.self().hostId);
		const holders = this.#entries.get(database)?.ownership.record.seats.map(({peerAddress}) => peerAddress) ?? [];
		const likely = rankByRendezvous(database, alive).slice(0, peersAsked).map(({peerAddress}) => peerAddress);
		const own = membership.self().peerAddress;
		const addresses = [...new Set([...holders, ...likely])].filter(address => address !== own);
		const answers = await Promise.all(addresses.map(async address => peers.getOwnership(address, database)));
		for (const answer of answers) {
			if (answer?.ownership) {
				this.accept(answer.ownership, answer.group);
			}
		}
	}

	async #askPlatform(database: string): Promise<Result<ActingOwner, DirectoryError>> {
		const {platform, assignOwners, timers, logger} = this.options;
		if ((this.#unknownUntilMs.get(database) ?? 0) > timers.nowMs()) {
			return unknownDatabase(database);
		}

		const group = await platform.get('groups', database);
		if (group.isErr()) {
			if (group.error.kind !== 'not-found') {
				return noOwner(database, group.error.message);
			}

			this.#unknownUntilMs.set(database, timers.nowMs() + unknownValidMs);
			return unknownDatabase(database);
		}

		const record = parseGroupRecord(group.value.value);
		if (record.isErr()) {
			logger.error({event: 'group-record-damaged', database, message: record.error.message});
			return noOwner(database, record.error.message);
		}

		const assigned = await assignOwners.run(database);
		if (assigned.isErr()) {
			return noOwner(database, assigned.error.message);
		}

		this.accept(assigned.value, record.value);
		const acting = this.#acting(database);
		return acting ? ok(acting) : noOwner(database, 'No owner is live.');
	}

	#acting(database: string): ActingOwner | undefined {
		const entry = this.#entries.get(database);
		if (!entry) {
			return undefined;
		}

		const {record} = entry.ownership;
		const preferred = {...record, seats: record.seats.filter(seat => !this.#isPassedOver(database, seat))};
		const seat = findActingSeat(preferred, this.options.membership) ?? findActingSeat(record, this.options.membership);
		return seat && {seat, entry};
	}

	#isPassedOver(database: string, {hostId}: OwnerSeat): boolean {
		return (this.#passedOverUntilMs.get(`${database}\0${hostId}`) ?? 0) > this.options.timers.nowMs();
	}
}

const unknownDatabase = (database: string) =>
	err<never, DirectoryError>({kind: 'unknown-database', message: `There is no database ${database}.`});

const noOwner = (database: string, reason: string) =>
	err<never, DirectoryError>({kind: 'no-acting-owner', message: `No proxy acts for ${database}: ${reason}`});
