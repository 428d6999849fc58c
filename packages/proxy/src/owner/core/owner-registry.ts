import {findActingSeat, type MembershipView, type OwnerSeat} from '@dogwoodthread/coordination';
import {type DatabaseEntry} from '../../directory/index.js';
import {type OwnerOptions} from '../definitions.js';
import {DatabaseOwner} from './database-owner.js';

export type OwnerRegistryOptions = Omit<OwnerOptions, 'database' | 'seat' | 'members' | 'isActing' | 'policy'> & {
	membership: MembershipView;
	policyOf: (database: string) => OwnerOptions['policy'];
	/** Whether a holder did not answer when this proxy asked it lately. */
	isUnresponsive: (hostId: string) => boolean;
};

/** The databases for which this proxy holds a seat. */
export class OwnerRegistry {
	readonly #owners = new Map<string, {owner: DatabaseOwner; entry: DatabaseEntry}>();
	#closed = false;

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

	/** Starts, keeps or stops an owner as the record says. */
	apply(database: string, entry: DatabaseEntry): void {
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
		if (!seat || this.#closed) {
			return;
		}

		const owner = new DatabaseOwner({
			...this.options,
			database,
			seat,
			members: entry.group.members,
			policy: this.options.policyOf(database),
			logger: this.options.logger.child({database}),
			isActing: () => this.#isActing(database),
		});
		this.#owners.set(database, {owner, entry});
		this.options.logger.info({
			event: 'seat-taken', database, rank: seat.rank, generation: seat.generation,
		});
		owner.start();
	}

	/** Follows limits that have changed in the governing document. */
	applyPolicies(): void {
		for (const owner of this.all()) {
			owner.state.applyPolicy();
		}
	}

	close(): void {
		this.#closed = true;
		for (const owner of this.all()) {
			owner.stop();
		}

		this.#owners.clear();
	}

	/**
	 * The first seat in order acts whose holder is live and answers. A proxy that is leaving goes on acting
	 * until the others have noticed and stop asking it. When two act for a short time, the instances queue
	 * more work; nothing else depends on there being one.
	 */
	#isActing(database: string): boolean {
		const known = this.#owners.get(database);
		if (!known) {
			return false;
		}

		const {membership, isUnresponsive} = this.options;
		const self = membership.self();
		const {record} = known.entry.ownership;
		const responsive = {...record, seats: record.seats.filter(({hostId}) => hostId === self.hostId || !isUnresponsive(hostId))};
		return findActingSeat(responsive, membership)?.hostId === self.hostId
			|| (self.state === 'leaving' && record.seats[0]?.hostId === self.hostId);
	}
}

const isSameSeat = (held: OwnerSeat, seat: OwnerSeat | undefined): boolean =>
	held.rank === seat?.rank && held.generation === seat.generation;
