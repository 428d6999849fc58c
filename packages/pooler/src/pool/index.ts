/** Connection pools to endpoints. */
export {ConnectionPool, type ConnectionPoolOptions} from './connection-pool.js';
export {PooledConnection} from './pooled-connection.js';
export type {
	AcquireError, AcquireErrorKind, AcquireRequest, ConnectionShare,
} from './definitions.js';
