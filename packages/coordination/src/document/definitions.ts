import {type ResultAsync} from 'neverthrow';
import {type TypedError} from '../errors/index.js';
import {type GoverningSections} from './domain/schema.js';
import {type Difference} from './domain/line-difference.js';

/** Sections of the governing document; each belongs to one team. */
export type SectionName = 'databases' | 'applications' | 'operations' | 'monitor';

/** The governing document, validated and with all defaults filled in. */
export type GoverningDocument = GoverningSections & {schemaVersion: 1};

/** Metadata of one accepted change: author, affected section, reason and versions. */
export type ChangeRecord = {
	changeId: string;
	/** `all` if the document was created or repaired as a whole. */
	section: SectionName | 'all';
	team: string;
	author: string;
	reason: string;
	/** Document version that the change replaced; 0 if it created the document. */
	baseVersion: number;
	/** Document version that the change produced. */
	version: number;
	/** Wall-clock time of the author's host, in ms since the Unix epoch. */
	atUnixMs: number;
};

export type SectionTexts = Record<SectionName, string>;

/** Value of the object `document/governing`. The object's version is the document version. */
export type StoredDocument = {
	schemaVersion: 1;
	/** YAML text of each section as its team wrote it, comments included. */
	sections: SectionTexts;
	/** Document version in which each section was last changed. */
	sectionVersions: Record<SectionName, number>;
	/** Latest changes, oldest first; earlier ones are kept as `document-history` objects. */
	recentChanges: ChangeRecord[];
	/** Difference made by the latest change. From it, the next editor writes the history entry if the author's process stopped before doing so. */
	lastDifference: DocumentDifference;
};

/** Changed lines of each changed section. */
export type DocumentDifference = Partial<Record<SectionName, Difference>>;

/** Value of an object `document-history/<version>`. */
export type HistoryEntry = {change: ChangeRecord; difference: DocumentDifference};

/** One validation mistake in the document. */
export type DocumentMistake = {
	/** For example `databases.ledger.slots`. */
	path: string;
	/** Line in the section's text, starting at 1; absent if the mistake belongs to no line. */
	line?: number;
	/** Value found, as JSON. */
	seen: string;
	expected: string;
	remedy: string;
};

/**
 * - `invalid-document`: the resulting document would fail validation; nothing changed.
 * - `invalid-change`: author, reason or change id are missing or malformed; nothing changed.
 * - `not-allowed`: the author has no permission to edit the section; nothing changed.
 * - `section-changed`: another change of the same section was accepted after the base version; nothing changed.
 * - `too-large`: the document or the change exceeds a size limit; nothing changed.
 * - `no-document`: the platform has no governing document yet, or the requested version does not exist.
 * - `document-exists`: the platform has a governing document already; nothing changed.
 * - `damaged-document`: the object at the platform is not a valid document, or a history entry is not
 *   valid. Proxies keep the version that they have in force.
 * - `platform-unavailable`: the platform did not answer; nothing changed.
 * - `outcome-unknown`: the change may have been accepted. Retry it with the same change id.
 */
export type DocumentErrorKind =
	| 'invalid-document' | 'invalid-change' | 'not-allowed' | 'section-changed' | 'too-large' | 'no-document' | 'document-exists'
	| 'damaged-document' | 'platform-unavailable' | 'outcome-unknown';

export type DocumentError = TypedError<DocumentErrorKind> & {
	mistakes?: DocumentMistake[];
	/** Changes of the same section since the author's base version (`section-changed`). */
	changesSince?: ChangeRecord[];
	/** Difference from the section's current text to the author's text (`section-changed`). */
	difference?: Difference;
};

/** One version of the document, as stored and as validated. */
export type VersionedDocument = {version: number; stored: StoredDocument; document: GoverningDocument};

/** Result of an operation on the document that calls the platform. */
export type DocumentResult<T> = ResultAsync<T, DocumentError>;
