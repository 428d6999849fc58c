import {z} from 'zod';

/** Allowed change ids. Every such id is also safe in a file name or a command-line argument. */
export const changeIdPattern = /^[\w.-]{4,64}$/;

/** Metadata that the author gives with a change. */
export const changeMetadataSchema = z.strictObject({
	changeId: z.string().regex(changeIdPattern, 'a change id of 4 to 64 letters, digits, dots, hyphens and underscores'),
	team: z.string().min(1, 'the name of the team').max(100, 'a name of at most 100 characters'),
	author: z.string().min(1, 'the name of the author').max(100, 'a name of at most 100 characters'),
	reason: z.string().trim().min(1, 'a reason, for the history').max(500, 'a reason of at most 500 characters'),
});

export type ChangeMetadata = z.infer<typeof changeMetadataSchema>;

export const changeRecordSchema = z.object({
	changeId: z.string(),
	section: z.enum(['databases', 'applications', 'operations', 'monitor', 'all']),
	team: z.string(),
	author: z.string(),
	reason: z.string(),
	baseVersion: z.number().int().nonnegative(),
	version: z.number().int().nonnegative(),
	// The upper bound is the largest time that a Date can represent.
	atUnixMs: z.number().int().min(0).max(8.64e15),
});

const differenceSchema = z.array(z.object({
	line: z.number().int().positive(), removed: z.array(z.string()), added: z.array(z.string()),
}));

export const documentDifferenceSchema = z.object({
	databases: differenceSchema.optional(),
	applications: differenceSchema.optional(),
	operations: differenceSchema.optional(),
	monitor: differenceSchema.optional(),
});

/** Value of an object `document-history/<version>`. */
export const historyEntrySchema = z.object({change: changeRecordSchema, difference: documentDifferenceSchema});
