import {isDeepStrictEqual} from 'node:util';
import {
	comparePositions, type LogPosition, maxPosition, type Platform, type TimerService, zeroPosition,
} from '@dogwoodthread/coordination';
import * as z from 'zod';
import {type VoterRecordPort} from '../group/index.js';
import {type StoreHistory} from '../store-history/index.js';
import {leaseExpiryMs} from './promotion-lease.js';

const positionSchema = z.object({term: z.number().int(), index: z.number().int()});
const recordSchema = z.object({
	term: z.number().int().nonnegative(),
	voters: z.array(z.string()).default([]),
	floor: positionSchema.default(zeroPosition),
	departed: z.array(z.string()).default([]),
	orderedTerm: z.number().int().nonnegative().default(0),
	orderedBy: z.string().default(''),
	orderedMember: z.string().default(''),
	announcedBy: z.string().default(''),
	confirmedGeneration: z.number().int().nonnegative().default(0),
});

/** State shared by promoters, the hosts that order promotions: one object per group in the platform's store. */
export type PromotionRecord = {
	/** Highest term that a promoter has announced, and the attempt that did last. */
	term: number;
	announcedBy: string;
	/** Members whose copy of a commit counts (`VoterSet`), as `id@start time`. */
	voters: string[];
	/** Position that every later primary must have reached: a departed member may have been the only replica that had it. */
	floor: LogPosition;
	/** Former voters whose departure is included in the floor, the latest last. */
	departed: string[];
	/** Highest term whose start a promoter may have ordered, and the host that did. Noted before the order is sent. */
	orderedTerm: number;
	orderedBy: string;
	/** The voter that was to lead that term. */
	orderedMember: string;
	/** Latest generation of the store in which a host has confirmed that a restore has lost no announcement. */
	confirmedGeneration: number;
};

/**
 * A voter that has ended. `position` includes all that it may have acknowledged if `primaryTerm` is set: then it is the
 * position of the primary of that term, requested after the end. Otherwise it is the highest position that one host has
 * passed on to a client.
 */
export type Departure = {incarnation: string; position: LogPosition; primaryTerm: number | undefined};

/** A term that an attempt has announced, the record with it, and the term that was ordered before. */
export type Announcement = {term: number; announcedBy: string; record: PromotionRecord; previousOrderedTerm: number};

/**
 * - `restored`: the store has everything that this host remembers.
 * - `nothing-remembered`: this host knows no record from before the restore.
 * - `failed`: the store did not answer, or the record changed meanwhile; try again.
 */
export type RestoreOutcome = 'restored' | 'nothing-remembered' | 'failed';

export type PromotionRecordStoreOptions = {
	platform: Platform;
	history: StoreHistory;
	timers: TimerService;
};

/** After this time, in ms, every host has written again what it remembers of a record that a restore of the store has lost. */
const restoreTimeoutMs = 3000;
/** Number of departures kept. Few are enough, since the instances of a group are replaced one after the other. */
const maxDepartedMembers = 8;
const emptyRecord: PromotionRecord = {
	term: 0, announcedBy: '', voters: [], floor: zeroPosition, departed: [], orderedTerm: 0, orderedBy: '', orderedMember: '', confirmedGeneration: 0,
};

/**
 * Announced terms of promotions, and floors that a member must have reached to be promoted. Also remembers the latest
 * record of each group that this host has read or written, because a restore of the store loses some of it.
 */
export class PromotionRecordStore {
	readonly #remembered = new Map<string, {record: PromotionRecord; generation: number}>();

	constructor(private readonly options: PromotionRecordStoreOptions) {}

	/** Undefined if the store does not answer, its record cannot be parsed, or other hosts may still complete it after a restore. */
	async read(service: string): Promise<PromotionRecord | undefined> {
		const stored = await this.#load(service);
		return stored && this.#isComplete(stored.record) ? stored.record : undefined;
	}

	/**
	 * Highest announced term; 0 if there is none. Undefined if the store does not answer, or may have lost an
	 * announcement when it was restored.
	 */
	async readTerm(service: string): Promise<number | undefined> {
		const stored = await this.#load(service);
		return stored?.record.confirmedGeneration === this.options.history.generation ? stored.record.term : undefined;
	}

	/**
	 * Adds voters, seen while the primary of `primaryTerm` leads. Changes nothing while a later term is announced, because
	 * the promoter judges by the voters of its announcement. Returns the record as it is then; undefined as for `read`.
	 */
	async addVoters(service: string, incarnations: readonly string[], primaryTerm: number): Promise<PromotionRecord | undefined> {
		return this.#change(service, record => {
			const added = incarnations.filter(incarnation => !record.voters.includes(incarnation));
			return added.length > 0 && this.#canChangeVoters(record, primaryTerm)
				? {...record, voters: [...record.voters, ...added], departed: record.departed.filter(incarnation => !added.includes(incarnation))}
				: undefined;
		});
	}

	/**
	 * Records that a voter has ended. It stays a voter until the position of a primary that no announced term supersedes
	 * shows what it may have acknowledged. Returns the record as it is then; undefined as for `read`.
	 */
	async recordDeparture(service: string, {incarnation, position, primaryTerm}: Departure): Promise<PromotionRecord | undefined> {
		return this.#change(service, record => {
			if (!record.voters.includes(incarnation)) {
				return undefined;
			}

			const floor = maxPosition(record.floor, position);
			if (primaryTerm !== undefined && this.#canChangeVoters(record, primaryTerm)) {
				return {
					...record,
					floor,
					voters: record.voters.filter(voter => voter !== incarnation),
					departed: [...record.departed, incarnation].slice(-maxDepartedMembers),
				};
			}

			return comparePositions(floor, record.floor) > 0 ? {...record, floor} : undefined;
		});
	}

	/**
	 * Announces a term, above every noted order, before any member is fenced. It takes the place of an announcement without an
	 * order, whose promoter has ended. Without an answer the store did not confirm it and no member may be fenced.
	 * `announcedBy` names the attempt, so that a promoter that was suspended does not take its successor's announcement for
	 * its own.
	 */
	async announceTerm(service: string, term: number, announcedBy: string): Promise<Announcement | undefined> {
		let previousOrderedTerm = 0;
		const record = await this.#change(service, stored => {
			previousOrderedTerm = stored.orderedTerm;
			return term > stored.orderedTerm ? {...stored, term, announcedBy} : undefined;
		});
		return record?.term === term && record.announcedBy === announcedBy
			? {
				term, announcedBy, record, previousOrderedTerm,
			}
			: undefined;
	}

	/** Notes, before the order is sent, that a host orders a voter to lead the announced term. If it returns false, no order may be sent. */
	async noteOrder(service: string, announcement: Announcement, {hostId, incarnation}: {hostId: string; incarnation: string}): Promise<boolean> {
		const {term} = announcement;
		const record = await this.#change(service, stored => isOwn(stored, announcement)
			? {
				...stored, orderedTerm: term, orderedBy: hostId, orderedMember: incarnation,
			}
			: undefined);
		return record !== undefined && isOwn(record, announcement) && record.orderedTerm === term;
	}

	/**
	 * Withdraws an announcement after which no promotion was ordered, to the present term. Without a noted order a term has
	 * not started, so the announcement of an earlier promoter, whose lease has ended, goes with it; a noted one stays.
	 */
	async withdrawTerm(service: string, announcement: Announcement, presentTerm: number): Promise<boolean> {
		const {previousOrderedTerm} = announcement;
		const record = await this.#change(service, stored => isOwn(stored, announcement)
			? {
				...stored,
				term: Math.max(presentTerm, previousOrderedTerm),
				orderedTerm: previousOrderedTerm,
				orderedBy: announcement.record.orderedBy,
				orderedMember: announcement.record.orderedMember,
			}
			: undefined);
		return record !== undefined;
	}

	/**
	 * Replaces an announced term by the one in which the group is known to be: the promotion has started that one, or the
	 * announced one has not started and its promoter has ended. The caller holds the lease.
	 */
	async settleTerm(service: string, announcement: {term: number; announcedBy: string}, presentTerm: number): Promise<boolean> {
		const record = await this.#change(service, stored => isOwn(stored, announcement)
			? {...stored, term: presentTerm, orderedTerm: Math.min(stored.orderedTerm, presentTerm)}
			: undefined);
		return record?.term === presentTerm;
	}

	/** After a restore of the store, writes again what this host remembers of a record. */
	async restore(service: string): Promise<RestoreOutcome> {
		if (!this.#isFromEarlierGeneration(service)) {
			return 'nothing-remembered';
		}

		const record = await this.#change(service, () => undefined);
		return record ? 'restored' : 'failed';
	}

	/**
	 * Confirms, for the current generation of the store, that a restore has lost no announcement of a term above
	 * `presentTerm`. The caller has evidence from a replica that is newer than every lease that may be lost. A higher term
	 * in the record stays, since it may be announced just now.
	 */
	async confirmTerm(service: string, presentTerm: number): Promise<boolean> {
		const {generation} = this.options.history;
		const record = await this.#change(service, stored => stored.confirmedGeneration === generation
			? undefined
			: {...stored, term: Math.max(stored.term, presentTerm), confirmedGeneration: generation});
		return record !== undefined;
	}

	/** The voters of one service. */
	votersOf(service: string): VoterRecordPort {
		return {
			read: async () => this.read(service),
			add: async (incarnations, primaryTerm) => this.addVoters(service, incarnations, primaryTerm),
			recordDeparture: async departure => this.recordDeparture(service, departure),
		};
	}

	/**
	 * A restore of the store may have lost an announcement, so voters stay as they are until a host has confirmed the term. The
	 * first ones are recorded once every host that remembers others would have written them again.
	 */
	#canChangeVoters({term, voters, confirmedGeneration}: PromotionRecord, primaryTerm: number): boolean {
		const {history, timers} = this.options;
		const isFirst = voters.length === 0 && history.isOlderThan(restoreTimeoutMs, timers.nowMs());
		return term <= primaryTerm && (confirmedGeneration === history.generation || isFirst);
	}

	/** Whether every host has had time to write again what a restore has lost. */
	#isComplete({confirmedGeneration}: PromotionRecord): boolean {
		const {history, timers} = this.options;
		return confirmedGeneration === history.generation || history.isOlderThan(leaseExpiryMs, timers.nowMs());
	}

	#isFromEarlierGeneration(service: string): boolean {
		const remembered = this.#remembered.get(service);
		return remembered !== undefined && remembered.generation < this.options.history.generation;
	}

	/** Applies a change if it returns one, and returns the record that the store has then; undefined if the store did not confirm it. */
	async #change(service: string, change: (record: PromotionRecord) => PromotionRecord | undefined): Promise<PromotionRecord | undefined> {
		const stored = await this.#load(service);
		if (!stored) {
			return undefined;
		}

		const changed = change(stored.record);
		if (!changed && stored.isStored) {
			return stored.record;
		}

		const record = changed ?? stored.record;
		const {generation} = this.options.history;
		const written = await this.options.platform.put('groups', service, record, stored.version);
		if (written.isErr()) {
			return undefined;
		}

		this.#remembered.set(service, {record, generation});
		return record;
	}

	/** The stored record, after a restore together with what this host remembers; `isStored` if the store has all of it. */
	async #load(service: string): Promise<{record: PromotionRecord; version: number; isStored: boolean} | undefined> {
		const found = await this.options.platform.get('groups', service);
		if (found.isErr() && found.error.kind !== 'not-found') {
			return undefined;
		}

		const parsed = recordSchema.safeParse(found.isOk() ? found.value.value : emptyRecord);
		if (!parsed.success) {
			return undefined;
		}

		const version = found.isOk() ? found.value.version : 0;
		const remembered = this.#remembered.get(service);
		const record = remembered && this.#isFromEarlierGeneration(service) ? mergeRecords(parsed.data, remembered.record) : parsed.data;
		const isStored = isDeepStrictEqual(record, parsed.data);
		if (isStored) {
			this.#remembered.set(service, {record, generation: this.options.history.generation});
		}

		return {record, version, isStored};
	}
}

const isOwn = (record: PromotionRecord, {term, announcedBy}: {term: number; announcedBy: string}): boolean =>
	record.term === term && record.announcedBy === announcedBy;

/** A stored record with the voters, the floor and the order of one that was remembered from before a restore. */
function mergeRecords(stored: PromotionRecord, remembered: PromotionRecord): PromotionRecord {
	const isOrderLost = remembered.orderedTerm > stored.orderedTerm;
	// One voter too many is harmless: its departure is recorded once more. One too few loses what it has acknowledged.
	const voters = [...new Set([...stored.voters, ...remembered.voters])];
	return {
		...stored,
		voters,
		departed: [...new Set([...stored.departed, ...remembered.departed])].filter(incarnation => !voters.includes(incarnation)).slice(-maxDepartedMembers),
		floor: maxPosition(stored.floor, remembered.floor),
		...(isOrderLost && {
			orderedTerm: remembered.orderedTerm, orderedBy: remembered.orderedBy, orderedMember: remembered.orderedMember, term: Math.max(stored.term, remembered.orderedTerm),
		}),
	};
}

/** Whether a log that ends at `received` has all commits that departed members may have acknowledged. */
export const hasReachedFloor = (received: LogPosition, {floor}: PromotionRecord): boolean => comparePositions(received, floor) >= 0;
