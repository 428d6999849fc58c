/** Ownership of databases: which proxies may hold connections to a database, and which of them is the acting owner. */
export type {
	OwnershipError, OwnershipErrorKind, OwnershipRecord, OwnerSeat, VersionedOwnership,
} from './definitions.js';
export {rankByRendezvous} from './domain/rendezvous.js';
export {
	findActingSeat, assignSeats, isSeatLive, reservedConnectionsPerSeat, seatsPerDatabase, statementConnectionsPerSeat,
} from './domain/seats.js';
export {parseOwnershipRecord} from './domain/ownership-record.js';
export {AssignOwners, type AssignOwnersOptions} from './core/assign-owners.js';
