import {createHash} from 'node:crypto';
import {type Member} from '../../membership/index.js';

// 48 bits fit a safe integer; ties are then resolved by host id.
const scoreBytes = 6;

const score = (key: string, hostId: string): number =>
	createHash('sha1').update(key).update('\0').update(hostId).digest().readUIntBE(0, scoreBytes);

/**
 * Orders members by rendezvous (highest random weight) hashing: every process with the same member
 * table gets the same order, and a change of one member moves only the keys that it was first for.
 */
export function rankByRendezvous(key: string, members: readonly Member[]): Member[] {
	return members
		.map(member => ({member, weight: score(key, member.hostId)}))
		.sort((a, b) => b.weight - a.weight || (a.member.hostId < b.member.hostId ? -1 : 1))
		.map(({member}) => member);
}
