import {createHash} from 'node:crypto';
import {type Member} from '../definitions.js';

/**
 * Number of buckets that the member table is divided into. At 4,900 members a bucket holds 38 entries, so that
 * repairing one difference takes about 4 kB, and the digests of all buckets fit one datagram.
 */
export const bucketCount = 128;

export type MemberDigest = {bucket: number; hash: number};

const hash32 = (text: string): number => createHash('sha256').update(text).digest().readUInt32BE(0);

/**
 * Digest of the fields that an exchange repairs. Suspicions are excluded because they are transient, and dead members
 * because each member removes them at a different time.
 */
export const digestMember = ({hostId, startedUnixMs, refutation, state}: Member): MemberDigest => ({
	bucket: hash32(hostId) % bucketCount,
	hash: state === 'dead' ? 0 : hash32(`${hostId}\0${startedUnixMs}\0${refutation}\0${state === 'leaving'}`),
});

/** Digest of each bucket. */
export const combineDigests = (digests: Iterable<MemberDigest>): number[] => {
	const combined = new Uint32Array(bucketCount);
	for (const {bucket, hash} of digests) {
		// The sum wraps at 32 bits, so that the result does not depend on the order.
		combined[bucket]! += hash;
	}

	return [...combined];
};
