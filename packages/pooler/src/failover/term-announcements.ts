import {
	comparePositions, type LogPosition, maxPosition, type Platform, zeroPosition,
} from '@dogwoodthread/coordination';
import * as z from 'zod';

const positionSchema = z.object({term: z.number().int(), index: z.number().int()});
const announcementSchema = z.object({
	term: z.number().int().nonnegative(),
	floor: positionSchema.default(zeroPosition),
	departed: z.array(z.string()).default([]),
});

/** What promoters of a group must know, one object a group at the platform's store. */
export type Announcement = {
	/** Highest term that a promoter has announced. */
	term: number;
	/** Position that each later primary must have: a member that is gone may have been the only replica that had it. */
	floor: LogPosition;
	/** Members whose departure the floor takes into account, the latest last. */
	departed: string[];
};

/** Departures that are remembered; instances of a group are replaced one after the other. */
const maxDeparted = 8;
const none: Announcement = {term: 0, floor: zeroPosition, departed: []};

/** Terms that promoters are about to start, and floors below which nobody may be promoted. */
export class TermAnnouncements {
	constructor(private readonly platform: Platform) {}

	/** Undefined if the store does not answer. */
	async read(service: string): Promise<Announcement | undefined> {
		const stored = await this.#load(service);
		return stored?.announcement;
	}

	/** Highest term announced, 0 if there is none, undefined if the store does not answer. */
	async term(service: string): Promise<number | undefined> {
		const announcement = await this.read(service);
		return announcement?.term;
	}

	/** Position that members which are gone may have acknowledged; undefined if the store does not answer. */
	async floor(service: string): Promise<LogPosition | undefined> {
		const announcement = await this.read(service);
		return announcement?.floor;
	}

	/** Announces a term before anyone is fenced; false if that is not confirmed, and nobody may be fenced then. */
	async announce(service: string, term: number): Promise<boolean> {
		return this.#change(service, announcement => ({...announcement, term}));
	}

	/** Notes that a member is gone and that commits up to `position` may have been acknowledged by it alone. */
	async noteDeparture(service: string, memberId: string, position: LogPosition): Promise<boolean> {
		return this.#change(service, announcement => announcement.departed.includes(memberId)
			? undefined
			: {
				...announcement,
				floor: maxPosition(announcement.floor, position),
				departed: [...announcement.departed, memberId].slice(-maxDeparted),
			});
	}

	async #change(service: string, change: (announcement: Announcement) => Announcement | undefined): Promise<boolean> {
		const stored = await this.#load(service);
		if (!stored) {
			return false;
		}

		const changed = change(stored.announcement);
		if (!changed) {
			return true;
		}

		const written = await this.platform.put('groups', service, changed, stored.version);
		return written.isOk();
	}

	async #load(service: string): Promise<{announcement: Announcement; version: number} | undefined> {
		const found = await this.platform.get('groups', service);
		if (found.isErr()) {
			return found.error.kind === 'not-found' ? {announcement: none, version: 0} : undefined;
		}

		const parsed = announcementSchema.safeParse(found.value.value);
		return parsed.success ? {announcement: parsed.data, version: found.value.version} : undefined;
	}
}

/** Whether a log that ends at `received` has all that departed members may have acknowledged. */
export const reachesFloor = (received: LogPosition, {floor}: Announcement): boolean => comparePositions(received, floor) >= 0;
