import {
	type GroupRecord, type MembershipView, type OwnerSeat, type Platform, type TimerService, type AssignOwners, type TypedError,
	type VersionedOwnership,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {type PeerQueries} from '../peer/index.js';

/** What a proxy knows of a database. */
export type DatabaseEntry = {
	ownership: VersionedOwnership;
	/** Last known group record; only its list of members is relied on. */
	group: GroupRecord;
};

export type DirectoryError = TypedError<'unknown-database' | 'no-acting-owner'>;

export type DirectoryOptions = {
	platform: Platform;
	membership: MembershipView;
	peers: PeerQueries;
	assignOwners: AssignOwners;
	timers: TimerService;
	logger: Logger;
};

export type EntryListener = (database: string, entry: DatabaseEntry) => void;

export type ActingOwner = {seat: OwnerSeat; entry: DatabaseEntry};
