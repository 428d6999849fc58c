/** Which proxies may hold connections to a database, and which of them acts. */
export type {
	OwnershipError, OwnershipErrorKind, OwnershipRecord, OwnerSeat, VersionedOwnership,
} from './definitions.js';
export {rankByRendezvous} from './domain/rendezvous.js';
export {
	actingSeat, assignSeats, isSeatLive, reservedConnectionsPerSeat, seatCount, sessionsPerSeat,
} from './domain/seats.js';
export {parseOwnershipRecord} from './domain/ownership-record.js';
export {AssignOwners, type AssignOwnersOptions} from './core/assign-owners.js';
