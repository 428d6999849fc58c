import {type ResultAsync} from 'neverthrow';
import {type TypedError} from '../errors/index.js';
import {type GoverningSections} from './domain/schema.js';
import {type Difference} from './domain/line-difference.js';

/** Sections of the governing document; each belongs to one team. */
export type SectionName = 'databases' | 'applications' | 'operations' | 'monitor';

/** The governing document, validated and with all defaults filled in. */
export type GoverningDocument = GoverningSections & {schemaVersion: 1};

/** Who changed what, and why. */
export type ChangeRecord = {
	changeId: string;
	/** `all` for the creation and for a repair of the whole document. */
	section: SectionName | 'all';
	team: string;
	author: string;
	reason: string;
	/** Document version that the change replaced; 0 for the creation. */
	baseVersion: number;
	/** Document version that the change made. */
	version: number;
	/** Wall-clock time of the author's host, in ms since the Unix epoch. */
	atUnixMs: number;
};

export type SectionTexts = Record<SectionName, string>;

/** Value of the object `document/governing`. Its document version is the object's version. */
export type StoredDocument = {
	schemaVersion: 1;
	/** YAML text of each section as its team wrote it, comments included. */
	sections: SectionTexts;
	/** Document version in which each section was last changed. */
	sectionVersions: Record<SectionName, number>;
	/** Latest changes, oldest first; older ones are in the history. */
	recentChanges: ChangeRecord[];
	/** What the latest change did, so that its history entry can always be completed. */
	lastDifference: DocumentDifference;
};

/** Changed lines of each changed section. */
export type DocumentDifference = Partial<Record<SectionName, Difference>>;

/** Value of an object `document-history/<version>`. */
export type HistoryEntry = {change: ChangeRecord; difference: DocumentDifference};

/** One mistake in the document's text. */
export type DocumentMistake = {
	/** For example `databases.ledger.slots`. */
	path: string;
	/** Line in the section's text, from 1; absent if the mistake has no place there. */
	line?: number;
	/** Value found, as JSON. */
	seen: string;
	expected: string;
	remedy: string;
};

/**
 * - `invalid-document`: the document would have mistakes; nothing changed.
 * - `invalid-change`: author, reason or change id are missing or malformed; nothing changed.
 * - `not-allowed`: the author has no right to the section; nothing changed.
 * - `section-changed`: somebody else changed the same section meanwhile; nothing changed.
 * - `too-large`: over a size limit; nothing changed.
 * - `no-document`: the platform has no governing document yet.
 * - `document-exists`: the platform has a governing document already; nothing changed.
 * - `damaged-document`: the object at the platform is not a valid document. Proxies keep the version
 *   that they have in force.
 * - `platform-unavailable`: the platform did not answer; nothing changed.
 * - `outcome-unknown`: the change may have been accepted. Repeat it with the same change id.
 */
export type DocumentErrorKind =
	| 'invalid-document' | 'invalid-change' | 'not-allowed' | 'section-changed' | 'too-large' | 'no-document' | 'document-exists'
	| 'damaged-document' | 'platform-unavailable' | 'outcome-unknown';

export type DocumentError = TypedError<DocumentErrorKind> & {
	mistakes?: DocumentMistake[];
	/** Changes of the same section since the author's base version (`section-changed`). */
	changesSince?: ChangeRecord[];
	/** From the section as it is now to the author's text (`section-changed`). */
	difference?: Difference;
};

/** A document at one version. */
export type VersionedDocument = {version: number; stored: StoredDocument; document: GoverningDocument};

/** Document with the platform, for the use cases. */
export type DocumentResult<T> = ResultAsync<T, DocumentError>;
