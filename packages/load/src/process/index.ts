/** Supervision of the programs that the load tool starts. */
export type {
	ManagedProcess, ProcessExit, ProcessSpec, ReadyLine,
} from './definitions.js';
export {LogRing} from './domain/log-ring.js';
export {ProcessSupervisor} from './infra/process-supervisor.js';
