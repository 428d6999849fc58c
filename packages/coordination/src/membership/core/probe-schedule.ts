import {type Member} from '../definitions.js';
import {type RandomSource, shuffle} from '../../random/index.js';
import {type MemberTable} from './member-table.js';

/**
 * Order of probes: round-robin over a shuffled list, so that every member is probed within one round and the
 * members of the fleet don't all probe the same one at once.
 */
export class ProbeSchedule {
	#hostIds: string[] = [];

	constructor(private readonly table: MemberTable, private readonly random: RandomSource) {}

	/** Inserts a member at a random position of the current round. */
	add(hostId: string): void {
		this.#hostIds.splice(Math.floor(this.random() * (this.#hostIds.length + 1)), 0, hostId);
	}

	/** The next member to probe; starts a new round when the current one is complete. Undefined if no other member is known. */
	next(): Member | undefined {
		for (let hostId = this.#hostIds.pop(); hostId !== undefined; hostId = this.#hostIds.pop()) {
			const member = this.table.get(hostId);
			if (member && member.state !== 'dead') {
				return member;
			}
		}

		this.#hostIds = shuffle(this.table.livePeerIds(), this.random);
		const hostId = this.#hostIds.pop();
		return hostId === undefined ? undefined : this.table.get(hostId);
	}
}
