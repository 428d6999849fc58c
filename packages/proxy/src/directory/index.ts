/** Which proxies own which databases, as this proxy knows it. */
export type {
	ActingOwner, DatabaseEntry, DirectoryError, DirectoryOptions, OwnershipQueries, PeerOwnership,
} from './definitions.js';
export {DatabaseDirectory} from './core/database-directory.js';
export {OwnershipKeeper} from './core/ownership-keeper.js';
export {HolderCheck} from './core/holder-check.js';
