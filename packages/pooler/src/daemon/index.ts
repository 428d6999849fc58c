/** Wires the components of one process together, and shuts them down. */
export {Pooler, type PoolerOptions} from './pooler.js';
export {
	loadBalancerRemovalMs, shutDown, type ClientConnections, type ShutDownOptions,
} from './shut-down.js';
