import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type ChangeRecord, type DocumentDifference, type DocumentError, type SectionName, type SectionTexts, type StoredDocument,
	type VersionedDocument,
} from '../definitions.js';
import {changeRecordSchema, documentDifferenceSchema} from './change.js';
import {maxDifferenceBytes, maxRecentChanges, maxSectionsBytes} from './limits.js';
import {computeDifference} from './line-difference.js';
import {currentSchemaVersion, parseDocument, type SectionCache} from './parse-document.js';
import {mapSections, sectionNames} from './sections.js';

/**
 * Placeholder for the version that a write produces, which the platform assigns only when it accepts the
 * write. Readers replace the placeholder with the object's version.
 */
const unassignedVersion = 0;

const storedSchema = z.object({
	schemaVersion: z.literal(currentSchemaVersion),
	sections: z.strictObject(mapSections(() => z.string())),
	sectionVersions: z.object(mapSections(() => z.number().int().nonnegative())),
	recentChanges: z.array(changeRecordSchema),
	lastDifference: documentDifferenceSchema,
});

export const jsonSizeBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Replaces the placeholder for the version with the object's version. */
const assignVersion = (stored: StoredDocument, version: number): StoredDocument => ({
	...stored,
	sectionVersions: mapSections(section => stored.sectionVersions[section] === unassignedVersion ? version : stored.sectionVersions[section]),
	recentChanges: stored.recentChanges.map(change => change.version === unassignedVersion ? {...change, version} : change),
});

const damagedDocumentError = (version: number, reason: string): DocumentError => ({
	kind: 'damaged-document',
	message: `Version ${version} of the governing document at the platform is damaged: ${reason}. `
		+ 'Proxies keep the version that they have in force; write that version back with "dogwoodctl document repair --proxy ADDRESS".',
});

/** Validates a value read from the platform or a peer, and returns the document that it contains. */
export const readStoredDocument = (value: unknown, version: number, cache?: SectionCache): Result<VersionedDocument, DocumentError> => {
	const parsed = storedSchema.safeParse(value);
	if (!parsed.success) {
		return err(damagedDocumentError(version, z.prettifyError(parsed.error).split('\n').slice(0, 6).join(' ')));
	}

	const stored = assignVersion(parsed.data, version);
	return parseDocument(stored, cache)
		.map(document => ({version, stored, document}))
		.mapErr(error => ({...damagedDocumentError(version, error.message), mistakes: error.mistakes}));
};

/** Latest change of a document; undefined if the document lists none. */
export const latestChange = (stored: StoredDocument): ChangeRecord | undefined => stored.recentChanges.at(-1);

/** Line differences of all sections that differ. */
export const computeDocumentDifference = (before: SectionTexts, after: SectionTexts): DocumentDifference => Object.fromEntries(sectionNames
	.map(section => [section, computeDifference(before[section], after[section])] as const)
	.filter(([, difference]) => difference.length > 0));

const tooLargeError = (subject: string, sizeBytes: number, limitBytes: number, remedy: string): DocumentError => ({
	kind: 'too-large', message: `${subject} has ${sizeBytes} bytes, more than the limit of ${limitBytes}. ${remedy}`,
});

const checkSizes = (stored: StoredDocument): Result<StoredDocument, DocumentError> => {
	const sectionsBytes = jsonSizeBytes(stored.sections);
	if (sectionsBytes > maxSectionsBytes) {
		const sizes = sectionNames.map(section => `${section} ${jsonSizeBytes(stored.sections[section])}`).join(', ');
		return err(tooLargeError('The document', sectionsBytes, maxSectionsBytes, `Shorten a section (${sizes}), for example by leaving out fields that have their default.`));
	}

	const differenceBytes = jsonSizeBytes(stored.lastDifference);
	return differenceBytes > maxDifferenceBytes
		? err(tooLargeError('The change', differenceBytes, maxDifferenceBytes, 'Split it into several edits.'))
		: ok(stored);
};

export type NewChange = Omit<ChangeRecord, 'baseVersion' | 'version'>;

/** Builds the stored value that applies one change to `current`; an error if it exceeds a size limit. */
export const buildNextDocument = (current: VersionedDocument, sections: SectionTexts, change: NewChange): Result<StoredDocument, DocumentError> => {
	const lastDifference = computeDocumentDifference(current.stored.sections, sections);
	const isChanged = (section: SectionName): boolean => change.section === 'all' || change.section === section;
	return checkSizes({
		schemaVersion: currentSchemaVersion,
		sections,
		sectionVersions: mapSections(section => isChanged(section) ? unassignedVersion : current.stored.sectionVersions[section]),
		recentChanges: [...current.stored.recentChanges, {...change, baseVersion: current.version, version: unassignedVersion}].slice(-maxRecentChanges),
		lastDifference,
	});
};

/** Builds the stored value of a document that does not exist at the platform yet. */
export const buildFirstDocument = (sections: SectionTexts, change: NewChange): Result<StoredDocument, DocumentError> => checkSizes({
	schemaVersion: currentSchemaVersion,
	sections,
	sectionVersions: mapSections(() => unassignedVersion),
	recentChanges: [{...change, baseVersion: 0, version: unassignedVersion}],
	lastDifference: {},
});
