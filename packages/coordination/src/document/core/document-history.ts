import {
	err, errAsync, ok, type Result,
} from 'neverthrow';
import {
	type ChangeRecord, type DocumentDifference, type DocumentError, type DocumentResult, type HistoryEntry, type SectionTexts,
	type VersionedDocument,
} from '../definitions.js';
import {applyDifference, reverseDifference} from '../domain/line-difference.js';
import {mapSections} from '../domain/sections.js';
import {computeDocumentDifference} from '../domain/stored-document.js';
import {type DocumentStore} from './document-store.js';

/** Assumed maximum difference between the clocks of hosts. The search for changes of a period goes this much further back. */
const clockToleranceMs = 3_600_000;

/** The texts after the change do not match the entry's difference. */
const damagedHistoryError = (version: number): DocumentError => ({
	kind: 'damaged-document', message: `The history entry of version ${version} does not fit the version after it; earlier versions cannot be shown.`,
});

/** Section texts before the entry's change, given the texts after it. */
const revertChange = (texts: SectionTexts, {change, difference}: HistoryEntry): Result<SectionTexts, DocumentError> => {
	const before = mapSections(section => applyDifference(texts[section], reverseDifference(difference[section] ?? [])));
	return Object.values(before).includes(undefined) ? err(damagedHistoryError(change.version)) : ok(before as SectionTexts);
};

/** Section texts at an earlier version, computed by reverting all later changes. */
const textsAtVersion = (store: DocumentStore, current: VersionedDocument, version: number): DocumentResult<SectionTexts> => {
	let texts: Result<SectionTexts, DocumentError> = ok(current.stored.sections);
	let reachedVersion = current.version;
	return store.visitHistory(current, entry => {
		reachedVersion = entry.change.version;
		if (reachedVersion <= version) {
			return false;
		}

		texts = texts.andThen(after => revertChange(after, entry));
		return texts.isOk();
	}).andThen(() => reachedVersion === version || texts.isErr()
		? texts
		: err<SectionTexts, DocumentError>({kind: 'no-document', message: `There is no version ${version}; see "dogwoodctl document history".`}));
};

/** Difference between two versions of the document. */
export const differenceBetweenVersions = (store: DocumentStore, fromVersion: number, toVersion: number): DocumentResult<DocumentDifference> => {
	if (fromVersion > toVersion) {
		return errAsync({kind: 'no-document', message: `Version ${fromVersion} is after ${toVersion}; give the earlier version first.`});
	}

	return store.read().andThen(current =>
		textsAtVersion(store, current, toVersion).andThen(after =>
			textsAtVersion(store, current, fromVersion).map(before => computeDocumentDifference(before, after))));
};

/** Latest accepted changes, newest first. */
export const listChanges = (store: DocumentStore, limit: number): DocumentResult<ChangeRecord[]> => {
	const changes: ChangeRecord[] = [];
	return store.read()
		.andThen(current => store.visitHistory(current, ({change}) => changes.push(change) < limit))
		.map(() => changes);
};

/** Changes accepted from `fromUnixMs` up to, but not including, `toUnixMs`, oldest first. */
export const listChangesBetween = (store: DocumentStore, fromUnixMs: number, toUnixMs: number): DocumentResult<HistoryEntry[]> => {
	const entries: HistoryEntry[] = [];
	return store.read()
		.andThen(current => store.visitHistory(current, entry => {
			if (entry.change.atUnixMs >= fromUnixMs && entry.change.atUnixMs < toUnixMs) {
				entries.push(entry);
			}

			return entry.change.atUnixMs >= fromUnixMs - clockToleranceMs;
		}))
		.map(() => entries.reverse());
};
