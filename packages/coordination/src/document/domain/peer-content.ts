import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type SectionTexts, type StoredDocument, type VersionedDocument,
} from '../definitions.js';
import {changeRecordSchema, documentDifferenceSchema} from './change.js';
import {maxRecentChanges} from './limits.js';
import {applyDifference} from './line-difference.js';
import {forEachSection, sectionNames} from './sections.js';
import {documentDifference, latestChange} from './stored-document.js';

const sectionVersionsSchema = z.object(forEachSection(() => z.number().int().nonnegative()));

const contentSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('full'), value: z.unknown()}),
	z.object({
		kind: z.literal('delta'),
		baseVersion: z.number().int().positive(),
		difference: documentDifferenceSchema,
		/** SHA-256 of the resulting section texts. */
		digest: z.string(),
		sectionVersions: sectionVersionsSchema,
		recentChanges: z.array(changeRecordSchema),
		/** Left out if it is the same as `difference`. */
		lastDifference: documentDifferenceSchema.optional(),
	}),
]);

const digestOf = (texts: SectionTexts): string =>
	createHash('sha256').update(JSON.stringify(sectionNames.map(section => texts[section]))).digest('hex');

/** Content for a peer that has nothing that a delta could start from. */
export const fullContent = (stored: StoredDocument): string => JSON.stringify({kind: 'full', value: stored});

/**
 * Content for a peer that has `base`. At the design size a whole document is several hundred kilobytes
 * and changes every 10 s, which would take most of a node's 10 KB/s.
 */
export const deltaContent = (stored: StoredDocument, base: {version: number; sections: SectionTexts}): string => JSON.stringify({
	kind: 'delta',
	baseVersion: base.version,
	difference: documentDifference(base.sections, stored.sections),
	digest: digestOf(stored.sections),
	sectionVersions: stored.sectionVersions,
	recentChanges: stored.recentChanges.filter(({version}) => version > base.version),
	lastDifference: latestChange(stored)?.baseVersion === base.version ? undefined : stored.lastDifference,
});

/** `needs-full`: the delta starts from another document; ask again with known version 0. */
export type ContentError = 'needs-full' | 'malformed';

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** The stored document in a peer's content, given the document that is in force here. */
export const readContent = (content: string, inForce: VersionedDocument | undefined): Result<unknown, ContentError> => {
	const parsed = contentSchema.safeParse(parseJson(content));
	if (!parsed.success) {
		return err('malformed');
	}

	const {data} = parsed;
	if (data.kind === 'full') {
		return ok(data.value);
	}

	if (inForce?.version !== data.baseVersion) {
		return err('needs-full');
	}

	const {stored} = inForce;
	const sections = forEachSection(section => applyDifference(stored.sections[section], data.difference[section] ?? []));
	if (Object.values(sections).includes(undefined) || digestOf(sections as SectionTexts) !== data.digest) {
		return err('needs-full');
	}

	return ok({
		schemaVersion: stored.schemaVersion,
		sections,
		sectionVersions: data.sectionVersions,
		recentChanges: [...stored.recentChanges, ...data.recentChanges].slice(-maxRecentChanges),
		lastDifference: data.lastDifference ?? data.difference,
	});
};
