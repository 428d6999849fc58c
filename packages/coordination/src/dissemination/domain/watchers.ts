import {createHash} from 'node:crypto';
import {type Member} from '../../membership/index.js';

const weights = new Map<string, number>();
const maxWeights = 10_000;
const weightBytes = 6;

/** Rendezvous weight of a host; the same on every member. */
const weightOf = (hostId: string): number => {
	const known = weights.get(hostId);
	if (known !== undefined) {
		return known;
	}

	if (weights.size >= maxWeights) {
		weights.clear();
	}

	const weight = createHash('sha256').update(`document\0${hostId}`).digest().readUIntBE(0, weightBytes);
	weights.set(hostId, weight);
	return weight;
};

/** Whether a member is among the first `count` living members of its failure domain in rendezvous order. */
export const isDocumentWatcher = (self: Member, members: readonly Member[], count: number): boolean => {
	const ownWeight = weightOf(self.hostId);
	const before = members.filter(member => member.failureDomain === self.failureDomain && member.state === 'alive'
		&& member.hostId !== self.hostId && weightOf(member.hostId) > ownWeight);
	return self.state === 'alive' && before.length < count;
};
