import {type Member, type MembershipView} from '../../membership/index.js';
import {type OwnerSeat, type OwnershipRecord} from '../definitions.js';
import {rankByRendezvous} from './rendezvous.js';

/** Number of proxies that may hold connections to one database. */
export const seatsPerDatabase = 3;

/** Connections of a seat to one instance that are not available to statements: one for the monitor, one for probes and control. */
export const reservedConnectionsPerSeat = 2;

/**
 * Number of connections for statements that one seat may hold to an instance. All seats together, including
 * their reserved connections, stay within the instance's connection cap.
 */
export const statementConnectionsPerSeat = (connectionCap: number): number =>
	Math.max(1, Math.floor(connectionCap / seatsPerDatabase) - reservedConnectionsPerSeat);

/** Whether the incarnation that holds the seat still accepts work. */
export function isSeatLive(seat: OwnerSeat, view: MembershipView): boolean {
	const member = view.get(seat.hostId);
	return member?.startedUnixMs === seat.startedUnixMs
		&& (member.state === 'alive' || member.state === 'suspect');
}

/** Finds the seat of the acting owner: the first one whose holder is live. */
export const findActingSeat = (record: OwnershipRecord, view: MembershipView): OwnerSeat | undefined =>
	record.seats.find(seat => isSeatLive(seat, view));

/**
 * Replaces the holders that are gone. Live holders keep their seat and their position in the order of
 * precedence. New holders are appended, if possible from failure domains that have no seat yet.
 */
export function assignSeats(database: string, current: readonly OwnerSeat[], view: MembershipView): OwnerSeat[] {
	const kept = current.filter(seat => isSeatLive(seat, view));
	const candidates = rankByRendezvous(database, view.members().filter(({state}) => state === 'alive'));
	const seats = [...kept];
	while (seats.length < seatsPerDatabase) {
		const next = findNextCandidate(candidates, seats);
		if (!next) {
			break;
		}

		const rank = findFreeRank(seats);
		const generation = Math.max(0, ...current.filter(seat => seat.rank === rank).map(seat => seat.generation)) + 1;
		seats.push(createSeat(next, rank, generation));
	}

	// A seat without a candidate stays in the record, so that its generation is never reused.
	const unfilled = current.filter(seat => !seats.some(({rank}) => rank === seat.rank));
	return [...seats, ...unfilled];
}

function findNextCandidate(candidates: readonly Member[], seats: readonly OwnerSeat[]): Member | undefined {
	const free = candidates.filter(({hostId}) => !seats.some(seat => seat.hostId === hostId));
	const usedDomains = new Set(seats.map(({failureDomain}) => failureDomain));
	return free.find(({failureDomain}) => !usedDomains.has(failureDomain)) ?? free[0];
}

const findFreeRank = (seats: readonly OwnerSeat[]): number =>
	Array.from({length: seatsPerDatabase}, (_, rank) => rank).find(rank => !seats.some(seat => seat.rank === rank))!;

const createSeat = ({hostId, startedUnixMs, peerAddress, failureDomain}: Member, rank: number, generation: number): OwnerSeat => ({
	rank, generation, hostId, startedUnixMs, peerAddress, failureDomain,
});
