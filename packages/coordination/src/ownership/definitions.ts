import {type TypedError} from '../errors/index.js';

/**
 * Right of a proxy to hold connections to the instances of a database. The generation grows whenever
 * the rank changes hands; instances refuse connections of older generations.
 */
export type OwnerSeat = {
	rank: number;
	generation: number;
	hostId: string;
	/** Incarnation of the holder. */
	startedUnixMs: number;
	peerAddress: string;
	failureDomain: string;
};

/** Value of the platform's object `owners/<database>`. Changed by conditional update only. */
export type OwnershipRecord = {
	database: string;
	/** In the order in which the holders act: the first one alive is the acting owner. */
	seats: OwnerSeat[];
	/** Identifies the update that wrote this value, so that a lost answer can be resolved. */
	changeId: string;
};

export type VersionedOwnership = {record: OwnershipRecord; version: number};

/**
 * - `no-candidates`: no live proxy can hold a rank.
 * - `platform-unavailable`: ranks cannot be assigned while the platform is down.
 * - `damaged-ownership-record`: the object at the platform is not an ownership record.
 */
export type OwnershipErrorKind = 'no-candidates' | 'platform-unavailable' | 'damaged-ownership-record';

export type OwnershipError = TypedError<OwnershipErrorKind>;
