import {type Member} from '../definitions.js';
import {type RandomSource, shuffle} from '../../random/index.js';
import {type MemberTable} from './member-table.js';

/**
 * Round-robin over a shuffled list, so that the time until a member is probed is bounded by the
 * size of the fleet, and all members do not probe the same one.
 */
export class ProbeSchedule {
	#hostIds: string[] = [];

	constructor(private readonly table: MemberTable, private readonly random: RandomSource) {}

	/** Adds a member at a random place of the current round. */
	add(hostId: string): void {
		this.#hostIds.splice(Math.floor(this.random() * (this.#hostIds.length + 1)), 0, hostId);
	}

	next(): Member | undefined {
		for (let hostId = this.#hostIds.pop(); hostId !== undefined; hostId = this.#hostIds.pop()) {
			const member = this.table.get(hostId);
			if (member && member.state !== 'dead') {
				return member;
			}
		}

		this.#hostIds = shuffle(this.table.others(), this.random);
		const hostId = this.#hostIds.pop();
		return hostId === undefined ? undefined : this.table.get(hostId);
	}
}
