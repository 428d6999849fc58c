import {type TypedError} from '@dogwoodthread/coordination';
import {type ConnectionError} from '../endpoint/index.js';

/**
 * - `unreachable`: no new connection could be opened, and no connection is idle.
 * - `overloaded`: the wait for a connection would outlast the deadline.
 * - `closed`: the endpoint is no longer used.
 */
export type AcquireErrorKind = 'unreachable' | 'overloaded' | 'closed';
export type AcquireError = TypedError<AcquireErrorKind>;

/** `lease-ended`: the connection was given back before the command; the command was not sent. */
export type LeaseError = ConnectionError | TypedError<'lease-ended'>;

export type AcquireRequest = {
	/** Requests with a lower number are served first. */
	priority: number;
	/** Monotonic time until which the request waits for a connection, in ms. */
	deadlineMs: number;
	/** Allows the pool to open a connection beyond the host's share instead of waiting for one in use. */
	canExceedShare?: boolean;
};

/** Connections that this host may hold to one endpoint. */
export type ConnectionShare = {
	/** Connections that this host may open regardless of the other hosts. */
	guaranteed: number;
	/** Limit for all hosts together. */
	maxConnections: number;
};
