import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type TypedError} from '../../errors/index.js';
import {type GroupRecord} from '../definitions.js';

export type GroupRecordError = TypedError<'damaged-group-record'>;

const groupRecordSchema = z.object({
	database: z.string().min(1),
	members: z.array(z.object({
		memberId: z.string().min(1),
		address: z.string().min(1),
		replicationAddress: z.string().min(1),
		failureDomain: z.string().min(1),
	})).min(1),
	term: z.int().min(0),
	primary: z.string(),
	phase: z.enum(['fencing', 'promoting', 'established']),
	changeId: z.string(),
	promoter: z.string().optional(),
});

/** A damaged record may have any number of mistakes; the first ones show what is wrong. */
const maxReasonLines = 6;

const describeMistakes = (error: z.ZodError): string => z.prettifyError(error).split('\n').slice(0, maxReasonLines).join('\n');

/** Validates an object read from the platform or received from a peer. */
export function parseGroupRecord(value: unknown): Result<GroupRecord, GroupRecordError> {
	const parsed = groupRecordSchema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err({
			kind: 'damaged-group-record',
			message: `The group record is damaged (${describeMistakes(parsed.error)}); restore it at the platform.`,
		});
}
