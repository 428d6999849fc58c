/** Directory of the proxies that own each database, as known to this proxy. */
export type {
	ActingOwner, DatabaseEntry, DirectoryError, DirectoryOptions, PeerOwnershipClient, PeerOwnership,
} from './definitions.js';
export {DatabaseDirectory} from './core/database-directory.js';
export {OwnerReplacer} from './core/owner-replacer.js';
export {OwnerLivenessProbe} from './core/owner-liveness-probe.js';
