import {type TypedError} from '@dogwoodthread/coordination';

/**
 * - `unreachable`: no new connection could be opened, and none is free.
 * - `overloaded`: the wait for a connection would outlast the deadline.
 * - `closed`: the endpoint is no longer used.
 */
export type AcquireErrorKind = 'unreachable' | 'overloaded' | 'closed';
export type AcquireError = TypedError<AcquireErrorKind>;

export type AcquireRequest = {
	/** Lower goes first. */
	priority: number;
	/** Monotonic time after which a connection is of no use. */
	deadlineMs: number;
	/** Opens a connection beyond the host's share rather than waiting for one in use. */
	mayExceedShare?: boolean;
};

/** Connections that this host may hold to one endpoint. */
export type ConnectionShare = {
	/** Always allowed. */
	guaranteed: number;
	/** All hosts together. */
	maxConnections: number;
};
