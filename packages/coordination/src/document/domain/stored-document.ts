import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type ChangeRecord, type DocumentDifference, type DocumentError, type SectionName, type SectionTexts, type StoredDocument,
	type VersionedDocument,
} from '../definitions.js';
import {changeRecordSchema, documentDifferenceSchema} from './change.js';
import {maxDifferenceBytes, maxRecentChanges, maxSectionsBytes} from './limits.js';
import {differenceOf} from './line-difference.js';
import {currentSchemaVersion, parseDocument, type SectionCache} from './parse-document.js';
import {forEachSection, sectionNames} from './sections.js';

/**
 * Stands for the version of the write that it is part of, which the platform assigns only with the
 * write. Readers replace it with the object's version.
 */
const thisVersion = 0;

const storedSchema = z.object({
	schemaVersion: z.literal(currentSchemaVersion),
	sections: z.strictObject(forEachSection(() => z.string())),
	sectionVersions: z.object(forEachSection(() => z.number().int().nonnegative())),
	recentChanges: z.array(changeRecordSchema),
	lastDifference: documentDifferenceSchema,
});

export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const fillVersion = (stored: StoredDocument, version: number): StoredDocument => ({
	...stored,
	sectionVersions: forEachSection(section => stored.sectionVersions[section] === thisVersion ? version : stored.sectionVersions[section]),
	recentChanges: stored.recentChanges.map(change => change.version === thisVersion ? {...change, version} : change),
});

const damaged = (version: number, reason: string): DocumentError => ({
	kind: 'damaged-document',
	message: `Version ${version} of the governing document at the platform is damaged: ${reason}. `
		+ 'Proxies keep the version that they have in force; write that version back with "dogwoodctl document repair --proxy ADDRESS".',
});

/** Checks a value read from the platform or a peer, and gives the document in it. */
export const readStoredDocument = (value: unknown, version: number, cache?: SectionCache): Result<VersionedDocument, DocumentError> => {
	const parsed = storedSchema.safeParse(value);
	if (!parsed.success) {
		return err(damaged(version, z.prettifyError(parsed.error).split('\n').slice(0, 6).join(' ')));
	}

	const stored = fillVersion(parsed.data, version);
	return parseDocument(stored, cache)
		.map(document => ({version, stored, document}))
		.mapErr(error => ({...damaged(version, error.message), mistakes: error.mistakes}));
};

/** Latest change of a document. */
export const latestChange = (stored: StoredDocument): ChangeRecord | undefined => stored.recentChanges.at(-1);

/** Changed lines of every section that differs. */
export const documentDifference = (before: SectionTexts, after: SectionTexts): DocumentDifference => Object.fromEntries(sectionNames
	.map(section => [section, differenceOf(before[section], after[section])] as const)
	.filter(([, difference]) => difference.length > 0));

const tooLarge = (what: string, sizeBytes: number, limitBytes: number, remedy: string): DocumentError => ({
	kind: 'too-large', message: `${what} has ${sizeBytes} bytes, more than the limit of ${limitBytes}. ${remedy}`,
});

const checkSizes = (stored: StoredDocument): Result<StoredDocument, DocumentError> => {
	const sectionsBytes = jsonBytes(stored.sections);
	if (sectionsBytes > maxSectionsBytes) {
		const sizes = sectionNames.map(section => `${section} ${jsonBytes(stored.sections[section])}`).join(', ');
		return err(tooLarge('The document', sectionsBytes, maxSectionsBytes, `Shorten a section (${sizes}), for example by leaving out fields that have their default.`));
	}

	const differenceBytes = jsonBytes(stored.lastDifference);
	return differenceBytes > maxDifferenceBytes
		? err(tooLarge('The change', differenceBytes, maxDifferenceBytes, 'Split it into several edits.'))
		: ok(stored);
};

export type NewChange = Omit<ChangeRecord, 'baseVersion' | 'version'>;

/** The value that replaces `current` with one change; an error if it would be over a size limit. */
export const nextStoredDocument = (current: VersionedDocument, sections: SectionTexts, change: NewChange): Result<StoredDocument, DocumentError> => {
	const lastDifference = documentDifference(current.stored.sections, sections);
	const changed = (section: SectionName): boolean => change.section === 'all' || change.section === section;
	return checkSizes({
		schemaVersion: currentSchemaVersion,
		sections,
		sectionVersions: forEachSection(section => changed(section) ? thisVersion : current.stored.sectionVersions[section]),
		recentChanges: [...current.stored.recentChanges, {...change, baseVersion: current.version, version: thisVersion}].slice(-maxRecentChanges),
		lastDifference,
	});
};

/** The value of a document that is not at the platform yet. */
export const firstStoredDocument = (sections: SectionTexts, change: NewChange): Result<StoredDocument, DocumentError> => checkSizes({
	schemaVersion: currentSchemaVersion,
	sections,
	sectionVersions: forEachSection(() => thisVersion),
	recentChanges: [{...change, baseVersion: 0, version: thisVersion}],
	lastDifference: {},
});
