/** Serves a database as one of its owners. */
export type {
	AdmissionFactory, DatabasePolicy, OwnerEvents, OwnerOptions, ReachabilityObserver,
} from './definitions.js';
export {DatabaseOwner} from './core/database-owner.js';
export {OwnerRegistry, type OwnerRegistryOptions} from './core/owner-registry.js';
