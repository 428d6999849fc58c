import {isDeepStrictEqual} from 'node:util';
import {
	comparePositions, type LogPosition, maxPosition, type Platform, type TimerService, zeroPosition,
} from '@dogwoodthread/coordination';
import * as z from 'zod';
import {type StoreHistory} from '../store-history/index.js';
import {leaseExpiryMs} from './promotion-lease.js';

const positionSchema = z.object({term: z.number().int(), index: z.number().int()});
const recordSchema = z.object({
	term: z.number().int().nonnegative(),
	floor: positionSchema.default(zeroPosition),
	departed: z.array(z.string()).default([]),
	orderedTerm: z.number().int().nonnegative().default(0),
	orderedBy: z.string().default(''),
	confirmedGeneration: z.number().int().nonnegative().default(0),
});

/** State shared by promoters, the hosts that order promotions: one object per group in the platform's store. */
export type PromotionRecord = {
	/** Highest term that a promoter has announced. */
	term: number;
	/** Position that every later primary must have reached: a departed member may have been the only replica that had it. */
	floor: LogPosition;
	/** Members whose departure is included in the floor, the latest last. */
	departed: string[];
	/** Highest term whose start a promoter has ordered, and the host that did. */
	orderedTerm: number;
	orderedBy: string;
	/** Latest generation of the store in which a host has confirmed that a restore has lost no announcement. */
	confirmedGeneration: number;
};

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

/** Number of departures kept. Few are enough, since the instances of a group are replaced one after the other. */
const maxDepartedMembers = 8;
const emptyRecord: PromotionRecord = {
	term: 0, floor: zeroPosition, departed: [], orderedTerm: 0, orderedBy: '', confirmedGeneration: 0,
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

	/** Highest position that departed members may have acknowledged; undefined as for `read`. */
	async readFloor(service: string): Promise<LogPosition | undefined> {
		const record = await this.read(service);
		return record?.floor;
	}

	/** Announces a term before any member is fenced. If it returns false, the store did not confirm it and no member may be fenced. */
	async announceTerm(service: string, term: number): Promise<boolean> {
		return this.#change(service, record => ({...record, term}));
	}

	/** Withdraws the announcement of a term that was not ordered. The announced term stays at or above every ordered one. */
	async withdrawTerm(service: string, presentTerm: number): Promise<boolean> {
		return this.#change(service, record => ({...record, term: Math.max(presentTerm, record.orderedTerm)}));
	}

	/** Records that `hostId` has ordered a promotion with which `term` starts. */
	async recordOrder(service: string, term: number, hostId: string): Promise<boolean> {
		return this.#change(service, record => ({...record, orderedTerm: Math.max(record.orderedTerm, term), orderedBy: hostId}));
	}

	/** Records that a member has departed and that it alone may have acknowledged commits up to `position`. */
	async recordDeparture(service: string, memberId: string, position: LogPosition): Promise<boolean> {
		return this.#change(service, record => record.departed.includes(memberId)
			? undefined
			: {
				...record,
				floor: maxPosition(record.floor, position),
				departed: [...record.departed, memberId].slice(-maxDepartedMembers),
			});
	}

	/** After a restore of the store, writes again what this host remembers of a record. */
	async restore(service: string): Promise<RestoreOutcome> {
		if (!this.#isFromEarlierGeneration(service)) {
			return 'nothing-remembered';
		}

		return await this.#change(service, () => undefined) ? 'restored' : 'failed';
	}

	/**
	 * Confirms, for the current generation of the store, that a restore has lost no announcement of a term above
	 * `presentTerm`. The caller has evidence from a replica that is newer than every lease that may be lost. A higher term
	 * in the record stays, since it may be announced just now.
	 */
	async confirmTerm(service: string, presentTerm: number): Promise<boolean> {
		const {generation} = this.options.history;
		return this.#change(service, record => record.confirmedGeneration === generation
			? undefined
			: {...record, term: Math.max(record.term, presentTerm), confirmedGeneration: generation});
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

	async #change(service: string, change: (record: PromotionRecord) => PromotionRecord | undefined): Promise<boolean> {
		const stored = await this.#load(service);
		if (!stored) {
			return false;
		}

		const changed = change(stored.record);
		if (!changed && stored.isStored) {
			return true;
		}

		const record = changed ?? stored.record;
		const {generation} = this.options.history;
		const written = await this.options.platform.put('groups', service, record, stored.version);
		if (written.isOk()) {
			this.#remembered.set(service, {record, generation});
		}

		return written.isOk();
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

/** A stored record with the floor and the order of one that was remembered from before a restore. */
function mergeRecords(stored: PromotionRecord, remembered: PromotionRecord): PromotionRecord {
	const isOrderLost = remembered.orderedTerm > stored.orderedTerm;
	return {
		...stored,
		floor: maxPosition(stored.floor, remembered.floor),
		...(isOrderLost && {orderedTerm: remembered.orderedTerm, orderedBy: remembered.orderedBy, term: Math.max(stored.term, remembered.orderedTerm)}),
	};
}

/** Whether a log that ends at `received` has all commits that departed members may have acknowledged. */
export const hasReachedFloor = (received: LogPosition, {floor}: PromotionRecord): boolean => comparePositions(received, floor) >= 0;
