import {createHash} from 'node:crypto';
import {type Member} from '../definitions.js';

/**
 * Number of buckets that a table is divided into. At 4,900 members a bucket holds 38 of them, so that
 * one difference costs about 4 kB, and all digests fit one datagram.
 */
export const bucketCount = 128;

export type MemberDigest = {bucket: number; hash: number};

const hash32 = (text: string): number => createHash('sha256').update(text).digest().readUInt32BE(0);

/**
 * Digest of what an exchange repairs. Suspicions are left out, since they pass, and so are dead members,
 * which members forget at different times.
 */
export const digestMember = ({hostId, startedUnixMs, refutation, state}: Member): MemberDigest => ({
	bucket: hash32(hostId) % bucketCount,
	hash: state === 'dead' ? 0 : hash32(`${hostId}\0${startedUnixMs}\0${refutation}\0${state === 'leaving'}`),
});

export const combineDigests = (digests: Iterable<MemberDigest>): number[] => {
	const combined = new Uint32Array(bucketCount);
	for (const {bucket, hash} of digests) {
		// Sums wrap around at 32 bits, whatever the order.
		combined[bucket]! += hash;
	}

	return [...combined];
};
