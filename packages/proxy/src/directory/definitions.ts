import {
	type GroupRecord, type MembershipView, type OwnerSeat, type Platform, type TimerService, type AssignOwners, type TypedError,
	type VersionedOwnership,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';

/** Owners and group members of a database as this proxy knows them. */
export type DatabaseEntry = {
	ownership: VersionedOwnership;
	/** Last known group record; only its list of members may be relied on. */
	group: GroupRecord;
};

/** Owners and group members of a database as another proxy reports them. */
export type PeerOwnership = {
	ownership: VersionedOwnership | undefined;
	group: GroupRecord | undefined;
};

/** Exchanges ownership records with other proxies. */
export type PeerOwnershipClient = {
	/** Resolves to undefined if the peer does not answer. */
	getOwnership(peerAddress: string, database: string): Promise<PeerOwnership | undefined>;
	announceOwnership(peerAddress: string, ownership: VersionedOwnership, group: GroupRecord | undefined): Promise<void>;
};

export type DirectoryError = TypedError<'unknown-database' | 'no-acting-owner'>;

export type DirectoryOptions = {
	platform: Platform;
	membership: MembershipView;
	peers: PeerOwnershipClient;
	assignOwners: AssignOwners;
	timers: TimerService;
	logger: Logger;
};

export type EntryChangeListener = (database: string, entry: DatabaseEntry) => void;

export type ActingOwner = {seat: OwnerSeat; entry: DatabaseEntry};
