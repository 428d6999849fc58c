/** Connection pools to endpoints. */
export {ConnectionLease} from './connection-lease.js';
export {ConnectionPool, type ConnectionPoolOptions} from './connection-pool.js';
export type {
	AcquireError, AcquireErrorKind, AcquireRequest, ConnectionShare, LeaseError,
} from './definitions.js';
