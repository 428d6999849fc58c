import {type TypedError} from '../errors/index.js';

/**
 * Entitles a proxy to hold connections to the instances of a database. The generation increases whenever the
 * rank is assigned to another holder; instances refuse connections of older generations.
 */
export type OwnerSeat = {
	rank: number;
	generation: number;
	hostId: string;
	/** Start time of the holder, which identifies its incarnation. */
	startedUnixMs: number;
	peerAddress: string;
	failureDomain: string;
};

/** Value of the platform's object `owners/<database>`. Changed by conditional update only. */
export type OwnershipRecord = {
	database: string;
	/** In order of precedence: the first seat whose holder is live belongs to the acting owner. */
	seats: OwnerSeat[];
	/** Identifies the update that wrote this value. */
	changeId: string;
};

export type VersionedOwnership = {record: OwnershipRecord; version: number};

/**
 * - `no-candidates`: no live proxy can hold a rank.
 * - `platform-unavailable`: ranks cannot be assigned because the platform is unavailable or every attempt failed.
 * - `damaged-ownership-record`: the object at the platform is not an ownership record.
 */
export type OwnershipErrorKind = 'no-candidates' | 'platform-unavailable' | 'damaged-ownership-record';

export type OwnershipError = TypedError<OwnershipErrorKind>;
