import {findActingSeat, type MembershipView, type OwnerSeat} from '@dogwoodthread/coordination';
import {type DatabaseEntry} from '../../directory/index.js';
import {type OwnerOptions} from '../definitions.js';
import {DatabaseOwner} from './database-owner.js';

export type OwnerRegistryOptions = Omit<OwnerOptions, 'database' | 'seat' | 'members' | 'isActing' | 'policy'> & {
	membership: MembershipView;
	createPolicy: (database: string) => OwnerOptions['policy'];
	/** Whether a seat holder failed to answer a recent check by this proxy. */
	isUnresponsive: (hostId: string) => boolean;
};

/** Owners of the databases for which this proxy holds a seat. */
export class OwnerRegistry {
	readonly #owners = new Map<string, {owner: DatabaseOwner; entry: DatabaseEntry}>();
	#isClosed = false;

	constructor(private readonly options: OwnerRegistryOptions) {}

	get(database: string): DatabaseOwner | undefined {
		return this.#owners.get(database)?.owner;
	}

	all(): DatabaseOwner[] {
		return [...this.#owners.values()].map(({owner}) => owner);
	}

	actingDatabases(): string[] {
		return [...this.#owners].filter(([, {owner}]) => owner.isActing).map(([database]) => database);
	}

	/** Starts, keeps or stops an owner to match the ownership record. */
	applyEntry(database: string, entry: DatabaseEntry): void {
		const self = this.options.membership.self();
		const seat = entry.ownership.record.seats.find(({hostId, startedUnixMs}) =>
			hostId === self.hostId && startedUnixMs === self.startedUnixMs);
		const current = this.#owners.get(database);
		if (current && isSameSeat(current.owner.seat, seat)) {
			current.entry = entry;
			return;
		}

		current?.owner.stop();
		this.#owners.delete(database);
		if (!seat || this.#isClosed) {
			return;
		}

		const owner = new DatabaseOwner({
			...this.options,
			database,
			seat,
			members: entry.group.members,
			policy: this.options.createPolicy(database),
			logger: this.options.logger.child({database}),
			isActing: () => this.#isActing(database),
		});
		this.#owners.set(database, {owner, entry});
		this.options.logger.info({
			event: 'seat-taken', database, rank: seat.rank, generation: seat.generation,
		});
		owner.start();
	}

	/** Applies changed limits of the governing document to all owners. */
	applyPolicies(): void {
		for (const owner of this.all()) {
			owner.state.applyPolicy();
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const owner of this.all()) {
			owner.stop();
		}

		this.#owners.clear();
	}

	/**
	 * The acting owner is the holder of the first seat whose holder is live and responsive. A leaving proxy
	 * keeps acting until the others have noticed and stop sending it requests. Two owners may act at once for
	 * a short time: the instances then queue more work, but correctness does not depend on a single one.
	 */
	#isActing(database: string): boolean {
		const held = this.#owners.get(database);
		if (!held) {
			return false;
		}

		const {membership, isUnresponsive} = this.options;
		const self = membership.self();
		const {record} = held.entry.ownership;
		const responsiveRecord = {...record, seats: record.seats.filter(({hostId}) => hostId === self.hostId || !isUnresponsive(hostId))};
		return findActingSeat(responsiveRecord, membership)?.hostId === self.hostId
			|| (self.state === 'leaving' && record.seats[0]?.hostId === self.hostId);
	}
}

const isSameSeat = (current: OwnerSeat, seat: OwnerSeat | undefined): boolean =>
	current.rank === seat?.rank && current.generation === seat.generation;
