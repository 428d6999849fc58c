import {
	type GroupRecord, type MembershipView, type OwnerSeat, type Platform, type TimerService, type AssignOwners, type TypedError,
	type VersionedOwnership,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';

/** What a proxy knows of a database. */
export type DatabaseEntry = {
	ownership: VersionedOwnership;
	/** Last known group record; only its list of members is relied on. */
	group: GroupRecord;
};

/** What another proxy knows of a database. */
export type PeerOwnership = {
	ownership: VersionedOwnership | undefined;
	group: GroupRecord | undefined;
};

/** Questions about owners to other proxies; undefined means no answer. */
export type OwnershipQueries = {
	getOwnership(peerAddress: string, database: string): Promise<PeerOwnership | undefined>;
	announceOwnership(peerAddress: string, ownership: VersionedOwnership, group: GroupRecord | undefined): Promise<void>;
};

export type DirectoryError = TypedError<'unknown-database' | 'no-acting-owner'>;

export type DirectoryOptions = {
	platform: Platform;
	membership: MembershipView;
	peers: OwnershipQueries;
	assignOwners: AssignOwners;
	timers: TimerService;
	logger: Logger;
};

export type EntryListener = (database: string, entry: DatabaseEntry) => void;

export type ActingOwner = {seat: OwnerSeat; entry: DatabaseEntry};
