import {type ResultAsync} from 'neverthrow';
import {type TypedError} from '../errors/index.js';

/** Kinds of objects that the system keeps at the platform. */
export type ObjectKind = 'document' | 'document-history' | 'groups' | 'owners' | 'hosts' | 'duties';

/** An object with the version that conditional updates refer to. */
export type PlatformObject = {
	kind: ObjectKind;
	name: string;
	/** Grows by at least one with each update of this object. */
	version: number;
	/** JSON value, at most 1 MiB when serialised. */
	value: unknown;
};

/** An object that was updated or removed. */
export type PlatformChange = {
	name: string;
	version: number;
	/** Absent if the object was removed. */
	value?: unknown;
};

export type WatchBatch = {
	changes: PlatformChange[];
	/** Revision to continue the watch from. */
	revision: number;
};

export type HostState = 'live' | 'leaving';

/** Entry of the platform's list of hosts. The list lags behind the truth. */
export type PlatformHost = {
	hostId: string;
	role: 'proxy' | 'endpoint';
	address: string;
	failureDomain: string;
	region: string;
	state: HostState;
};

/**
 * - `conflict`: the object's version is another than the expected one; nothing changed.
 * - `not-found`: no such object.
 * - `unavailable`: no answer, or an answer that says that the call had no effect. A `put` may still
 *   have taken effect if `outcomeKnown` is false; read the object back before trying again.
 * - `too-large`: the value is over the platform's limit.
 */
export type PlatformErrorKind = 'conflict' | 'not-found' | 'unavailable' | 'too-large';

export type PlatformError = TypedError<PlatformErrorKind> & {
	/** Whether it is certain that the call had no effect. */
	outcomeKnown: boolean;
};

/** The platform's object service. Each call, a waiting watch included, counts against its rates. */
export type Platform = {
	get(kind: ObjectKind, name: string): ResultAsync<PlatformObject, PlatformError>;
	/** A list that may be stale by seconds costs the platform less. */
	list(kind: ObjectKind, options?: {allowStale: boolean}): ResultAsync<{objects: PlatformObject[]; revision: number}, PlatformError>;
	/**
	 * Creates the object (`expectedVersion` 0) or replaces it if its version is `expectedVersion`.
	 * Gives the new version.
	 */
	put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number): ResultAsync<number, PlatformError>;
	remove(kind: ObjectKind, name: string, expectedVersion: number): ResultAsync<void, PlatformError>;
	/** Waits up to `waitMs` for changes after `revision`; an empty batch means that there were none. */
	watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError>;
	hosts(): ResultAsync<PlatformHost[], PlatformError>;
};
