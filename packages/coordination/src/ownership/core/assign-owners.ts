import {isDeepStrictEqual} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import {type MembershipView} from '../../membership/index.js';
import {type Platform} from '../../platform/index.js';
import {type OwnershipError, type OwnershipErrorKind, type VersionedOwnership} from '../definitions.js';
import {parseOwnershipRecord} from '../domain/ownership-record.js';
import {assignSeats, isSeatLive} from '../domain/seats.js';

export type AssignOwnersOptions = {
	platform: Platform;
	membership: MembershipView;
	/** Returns a unique change id. */
	newChangeId: () => string;
};

// A conflict means that another proxy has assigned ranks concurrently; its record is read and checked again.
const maxAttempts = 4;

const failure = (kind: OwnershipErrorKind, message: string) => err<never, OwnershipError>({kind, message});

/** Assigns the free ranks of a database to live proxies by conditional updates at the platform. */
export class AssignOwners {
	constructor(private readonly options: AssignOwnersOptions) {}

	/** Replaces holders that are gone, fills free ranks and returns the resulting record. */
	async run(database: string): Promise<Result<VersionedOwnership, OwnershipError>> {
		for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
			const current = await this.read(database);
			if (current.isErr()) {
				return err(current.error);
			}

			const {record, version} = current.value;
			const seats = assignSeats(database, record.seats, this.options.membership);
			if (!seats.some(seat => isSeatLive(seat, this.options.membership))) {
				return failure('no-candidates', `No live proxy can own ${database}; start one or check the gossip addresses.`);
			}

			if (version > 0 && isDeepStrictEqual(seats, record.seats)) {
				return ok(current.value);
			}

			const next = {database, seats, changeId: this.options.newChangeId()};
			const written = await this.options.platform.put('owners', database, next, version);
			if (written.isOk()) {
				return ok({record: next, version: written.value});
			}

			// After a conflict or a lost response the record is read again: it holds either this change or another one.
			if (written.error.kind !== 'conflict' && written.error.outcomeKnown) {
				return failure('platform-unavailable', `Ranks of ${database} cannot be assigned (${written.error.message}); restore the platform.`);
			}
		}

		return failure('platform-unavailable', `Ranks of ${database} could not be assigned in ${maxAttempts} attempts; it is tried again.`);
	}

	/** Reads the record. If there is none, the result has version 0 and no seats. */
	async read(database: string): Promise<Result<VersionedOwnership, OwnershipError>> {
		const object = await this.options.platform.get('owners', database);
		if (object.isErr()) {
			return object.error.kind === 'not-found'
				? ok({record: {database, seats: [], changeId: ''}, version: 0})
				: failure('platform-unavailable', `The owners of ${database} cannot be read (${object.error.message}); restore the platform.`);
		}

		const {version} = object.value;
		return parseOwnershipRecord(object.value.value).map(record => ({record, version}));
	}
}
