import {type ResultAsync} from 'neverthrow';
import {type TypedError} from '../errors/index.js';

/** Kinds of objects that the system stores at the platform. */
export type ObjectKind = 'document' | 'document-history' | 'groups' | 'owners' | 'hosts' | 'duties';

/** An object with the version that conditional writes check. */
export type PlatformObject = {
	kind: ObjectKind;
	name: string;
	/** Increases by at least one with each update of this object. */
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

/** Entry of the platform's list of hosts. The list lags behind the actual state. */
export type PlatformHost = {
	hostId: string;
	role: 'proxy' | 'endpoint';
	address: string;
	failureDomain: string;
	region: string;
	state: HostState;
};

/**
 * - `conflict`: the object's version differs from the expected one; nothing changed.
 * - `not-found`: the object does not exist.
 * - `unavailable`: no answer, or an answer that says that the call had no effect. A `put` may still
 *   have taken effect if `outcomeKnown` is false; read the object back before trying again.
 * - `too-large`: the value exceeds the platform's size limit.
 */
export type PlatformErrorKind = 'conflict' | 'not-found' | 'unavailable' | 'too-large';

export type PlatformError = TypedError<PlatformErrorKind> & {
	/** Whether it is known that the call had no effect. */
	outcomeKnown: boolean;
};

/** The platform's object service. Each call counts against its rate limits, including a watch that is still waiting. */
export type Platform = {
	get(kind: ObjectKind, name: string): ResultAsync<PlatformObject, PlatformError>;
	/** Lists the objects of a kind. With `allowStale` the list may be seconds old, which costs the platform less. */
	list(kind: ObjectKind, options?: {allowStale: boolean}): ResultAsync<{objects: PlatformObject[]; revision: number}, PlatformError>;
	/**
	 * Creates the object (`expectedVersion` 0) or replaces it if its version is `expectedVersion`.
	 * Returns the new version.
	 */
	put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number): ResultAsync<number, PlatformError>;
	remove(kind: ObjectKind, name: string, expectedVersion: number): ResultAsync<void, PlatformError>;
	/** Waits up to `waitMs` for changes after `revision`; an empty batch means that there were none. */
	watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError>;
	hosts(): ResultAsync<PlatformHost[], PlatformError>;
};
