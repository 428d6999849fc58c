/** The parts of one process, wired together. */
export {Pooler, type PoolerOptions} from './pooler.js';
export {
	outOfRotationMs, shutDown, type ClientConnections, type ShutDownOptions,
} from './shut-down.js';
