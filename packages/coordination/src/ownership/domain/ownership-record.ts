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

/** A damaged record may have any number of mistakes; the first ones show what is wrong. */
const maxReasonLines = 6;

const describeMistakes = (error: z.ZodError): string => z.prettifyError(error).split('\n').slice(0, maxReasonLines).join('\n');

/** Validates an object read from the platform or received from a peer. */
export function parseOwnershipRecord(value: unknown): Result<OwnershipRecord, OwnershipError> {
	const parsed = ownershipRecordSchema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err({
			kind: 'damaged-ownership-record',
			message: `The ownership record is damaged (${describeMistakes(parsed.error)}); restore it at the platform with generations that are not lower than before.`,
		});
}
