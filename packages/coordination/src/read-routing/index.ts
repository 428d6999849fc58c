/** Selection of the replica that serves a read. */
export type {ReplicaCandidate, ReplicaChoice, ReplicaSelectorOptions} from './definitions.js';
export {ReplicaSelector} from './core/replica-selector.js';
