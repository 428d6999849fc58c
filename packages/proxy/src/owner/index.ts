/** Serving a database as one of its owners. */
export type {
	AdmissionFactory, DatabasePolicy, OwnerEvents, OwnerOptions, Witness,
} from './definitions.js';
export {DatabaseOwner} from './core/database-owner.js';
