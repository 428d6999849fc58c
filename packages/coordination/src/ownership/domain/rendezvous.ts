import {createHash} from 'node:crypto';
import {type Member} from '../../membership/index.js';

// 48 bits fit into a safe integer. Equal scores are ordered by host id.
const scoreBytes = 6;

const score = (key: string, hostId: string): number =>
	createHash('sha1').update(key).update('\0').update(hostId).digest().readUIntBE(0, scoreBytes);

/**
 * Orders members by rendezvous (highest random weight) hashing: all processes with the same member table get
 * the same order, and removing a member moves only the keys for which it ranked first.
 */
export function rankByRendezvous(key: string, members: readonly Member[]): Member[] {
	return members
		.map(member => ({member, weight: score(key, member.hostId)}))
		.sort((a, b) => b.weight - a.weight || (a.member.hostId < b.member.hostId ? -1 : 1))
		.map(({member}) => member);
}
