import {createHash} from 'node:crypto';
import {type Member} from '../../membership/index.js';

const cachedWeights = new Map<string, number>();
const maxCachedWeights = 10_000;
const weightBytes = 6;

/** Rendezvous weight of a host; the same on every member. */
const rendezvousWeight = (hostId: string): number => {
	const cachedWeight = cachedWeights.get(hostId);
	if (cachedWeight !== undefined) {
		return cachedWeight;
	}

	if (cachedWeights.size >= maxCachedWeights) {
		cachedWeights.clear();
	}

	const weight = createHash('sha256').update(`document\0${hostId}`).digest().readUIntBE(0, weightBytes);
	cachedWeights.set(hostId, weight);
	return weight;
};

/** Whether `self` is alive and among the `count` alive members of its failure domain with the highest rendezvous weights. */
export const isDocumentWatcher = (self: Member, members: readonly Member[], count: number): boolean => {
	const ownWeight = rendezvousWeight(self.hostId);
	const higherRanked = members.filter(member => member.failureDomain === self.failureDomain && member.state === 'alive'
		&& member.hostId !== self.hostId && rendezvousWeight(member.hostId) > ownWeight);
	return self.state === 'alive' && higherRanked.length < count;
};
