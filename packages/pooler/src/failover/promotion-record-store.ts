import {
	comparePositions, type LogPosition, maxPosition, type Platform, zeroPosition,
} from '@dogwoodthread/coordination';
import * as z from 'zod';

const positionSchema = z.object({term: z.number().int(), index: z.number().int()});
const recordSchema = z.object({
	term: z.number().int().nonnegative(),
	floor: positionSchema.default(zeroPosition),
	departed: z.array(z.string()).default([]),
	orderedTerm: z.number().int().nonnegative().default(0),
	orderedBy: z.string().default(''),
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
};

/** Number of departures kept. Few are enough, since the instances of a group are replaced one after the other. */
const maxDepartedMembers = 8;
const emptyRecord: PromotionRecord = {
	term: 0, floor: zeroPosition, departed: [], orderedTerm: 0, orderedBy: '',
};

/** Announced terms of promotions, and floors that a member must have reached to be promoted. */
export class PromotionRecordStore {
	constructor(private readonly platform: Platform) {}

	/** Undefined if the store does not answer or its record cannot be parsed. */
	async read(service: string): Promise<PromotionRecord | undefined> {
		const stored = await this.#load(service);
		return stored?.record;
	}

	/** Highest announced term; 0 if there is none, undefined if the store does not answer. */
	async readTerm(service: string): Promise<number | undefined> {
		const record = await this.read(service);
		return record?.term;
	}

	/** Highest position that departed members may have acknowledged; undefined if the store does not answer. */
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

	async #change(service: string, change: (record: PromotionRecord) => PromotionRecord | undefined): Promise<boolean> {
		const stored = await this.#load(service);
		if (!stored) {
			return false;
		}

		const changed = change(stored.record);
		if (!changed) {
			return true;
		}

		const written = await this.platform.put('groups', service, changed, stored.version);
		return written.isOk();
	}

	async #load(service: string): Promise<{record: PromotionRecord; version: number} | undefined> {
		const found = await this.platform.get('groups', service);
		if (found.isErr()) {
			return found.error.kind === 'not-found' ? {record: emptyRecord, version: 0} : undefined;
		}

		const parsed = recordSchema.safeParse(found.value.value);
		return parsed.success ? {record: parsed.data, version: found.value.version} : undefined;
	}
}

/** Whether a log that ends at `received` has all commits that departed members may have acknowledged. */
export const hasReachedFloor = (received: LogPosition, {floor}: PromotionRecord): boolean => comparePositions(received, floor) >= 0;
