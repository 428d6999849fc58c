import {type Platform} from '@dogwoodthread/coordination';
import {z} from 'zod';

const announcementSchema = z.object({term: z.number().int().nonnegative()});

/** Terms that promoters are about to start, one object a group at the platform's store. */
export class TermAnnouncements {
	constructor(private readonly platform: Platform) {}

	/** Highest term announced for the group, 0 if there is none, undefined if the store does not answer. */
	async read(service: string): Promise<number | undefined> {
		const found = await this.platform.get('groups', service);
		if (found.isErr()) {
			return found.error.kind === 'not-found' ? 0 : undefined;
		}

		const parsed = announcementSchema.safeParse(found.value.value);
		return parsed.success ? parsed.data.term : undefined;
	}

	/** Announces a term before anyone is fenced; false if that is not confirmed, and nobody may be fenced then. */
	async announce(service: string, term: number): Promise<boolean> {
		const found = await this.platform.get('groups', service);
		if (found.isErr() && found.error.kind !== 'not-found') {
			return false;
		}

		const version = found.isOk() ? found.value.version : 0;
		const written = await this.platform.put('groups', service, {term}, version);
		return written.isOk();
	}
}
