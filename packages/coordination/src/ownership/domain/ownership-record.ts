import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type OwnershipError, type OwnershipRecord} from '../definitions.js';

const ownershipRecordSchema = z.object({
	database: z.string().min(1),
	seats: z.array(z.object({
		rank: z.int().min(0),
		generation: z.int().min(1),
		hostId: z.string().min(1),
		startedUnixMs: z.number(),
		peerAddress: z.string().min(1),
		failureDomain: z.string().min(1),
	})),
	changeId: z.string(),
});

/** Validates an object read from the platform or received from a peer. */
export function parseOwnershipRecord(value: unknown): Result<OwnershipRecord, OwnershipError> {
	const parsed = ownershipRecordSchema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err({
			kind: 'damaged-ownership-record',
			message: `The ownership record is damaged (${z.prettifyError(parsed.error)}); restore it at the platform with generations that are not lower than before.`,
		});
}
