import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type SectionTexts, type StoredDocument, type VersionedDocument,
} from '../definitions.js';
import {changeRecordSchema, documentDifferenceSchema} from './change.js';
import {maxRecentChanges} from './limits.js';
import {applyDifference} from './line-difference.js';
import {mapSections, sectionNames} from './sections.js';
import {computeDocumentDifference, latestChange} from './stored-document.js';

const sectionVersionsSchema = z.object(mapSections(() => z.number().int().nonnegative()));

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

const digestTexts = (texts: SectionTexts): string =>
	createHash('sha256').update(JSON.stringify(sectionNames.map(section => texts[section]))).digest('hex');

/** Content for a peer that has no version from which a delta can be computed. */
export const encodeFullContent = (stored: StoredDocument): string => JSON.stringify({kind: 'full', value: stored});

/**
 * Delta for a peer that has the version `base`. At the design size the full document has several hundred
 * kilobytes and changes every 10 s; sending it whole would use up most of a node's bandwidth budget of 10 KB/s.
 */
export const encodeDeltaContent = (stored: StoredDocument, base: {version: number; sections: SectionTexts}): string => JSON.stringify({
	kind: 'delta',
	baseVersion: base.version,
	difference: computeDocumentDifference(base.sections, stored.sections),
	digest: digestTexts(stored.sections),
	sectionVersions: stored.sectionVersions,
	recentChanges: stored.recentChanges.filter(({version}) => version > base.version),
	lastDifference: latestChange(stored)?.baseVersion === base.version ? undefined : stored.lastDifference,
});

/** `needs-full`: the delta is based on another version than the one in force; ask again with known version 0. */
export type ContentError = 'needs-full' | 'malformed';

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Decodes a peer's content to the value of a stored document; a delta is applied to the version in force. */
export const decodeContent = (content: string, inForce: VersionedDocument | undefined): Result<unknown, ContentError> => {
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
	const sections = mapSections(section => applyDifference(stored.sections[section], data.difference[section] ?? []));
	if (Object.values(sections).includes(undefined) || digestTexts(sections as SectionTexts) !== data.digest) {
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
