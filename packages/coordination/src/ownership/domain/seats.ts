import {type Member, type MembershipView} from '../../membership/index.js';
import {type OwnerSeat, type OwnershipRecord} from '../definitions.js';
import {rankByRendezvous} from './rendezvous.js';

/** Number of proxies that may hold connections to one database. */
export const seatCount = 3;

/** Of the connections of a seat to one instance: one for the monitor, one for probes and control. */
export const reservedConnectionsPerSeat = 2;

/**
 * Connections that one seat may hold to an instance for statements. All seats together, with what is
 * reserved, stay within the instance's cap.
 */
export const sessionsPerSeat = (connectionCap: number): number =>
	Math.max(1, Math.floor(connectionCap / seatCount) - reservedConnectionsPerSeat);

/** Whether the incarnation that was given the seat still takes new work. */
export function isSeatLive(seat: OwnerSeat, view: MembershipView): boolean {
	const member = view.get(seat.hostId);
	return member?.startedUnixMs === seat.startedUnixMs
		&& (member.state === 'alive' || member.state === 'suspect');
}

/** The first seat in acting order whose holder is live. */
export const actingSeat = (record: OwnershipRecord, view: MembershipView): OwnerSeat | undefined =>
	record.seats.find(seat => isSeatLive(seat, view));

/**
 * Seats after replacing the holders that are gone. Live holders keep their seat and their place in the
 * acting order; new ones are appended, from failure domains that have no seat yet where possible.
 */
export function assignSeats(database: string, current: readonly OwnerSeat[], view: MembershipView): OwnerSeat[] {
	const kept = current.filter(seat => isSeatLive(seat, view));
	const candidates = rankByRendezvous(database, view.members().filter(({state}) => state === 'alive'));
	const seats = [...kept];
	while (seats.length < seatCount) {
		const next = nextCandidate(candidates, seats);
		if (!next) {
			break;
		}

		const rank = freeRank(seats);
		const generation = Math.max(0, ...current.filter(seat => seat.rank === rank).map(seat => seat.generation)) + 1;
		seats.push(seatOf(next, rank, generation));
	}

	// A seat that nobody can take yet stays on record, so that its generation is never used again.
	const unfilled = current.filter(seat => !seats.some(({rank}) => rank === seat.rank));
	return [...seats, ...unfilled];
}

function nextCandidate(candidates: readonly Member[], seats: readonly OwnerSeat[]): Member | undefined {
	const free = candidates.filter(({hostId}) => !seats.some(seat => seat.hostId === hostId));
	const usedDomains = new Set(seats.map(({failureDomain}) => failureDomain));
	return free.find(({failureDomain}) => !usedDomains.has(failureDomain)) ?? free[0];
}

const freeRank = (seats: readonly OwnerSeat[]): number =>
	Array.from({length: seatCount}, (_, rank) => rank).find(rank => !seats.some(seat => seat.rank === rank))!;

const seatOf = ({hostId, startedUnixMs, peerAddress, failureDomain}: Member, rank: number, generation: number): OwnerSeat => ({
	rank, generation, hostId, startedUnixMs, peerAddress, failureDomain,
});
