import {
	err, errAsync, ok, type Result,
} from 'neverthrow';
import {
	type ChangeRecord, type DocumentDifference, type DocumentError, type DocumentResult, type HistoryEntry, type SectionTexts,
	type VersionedDocument,
} from '../definitions.js';
import {applyDifference, reverseDifference} from '../domain/line-difference.js';
import {forEachSection} from '../domain/sections.js';
import {documentDifference} from '../domain/stored-document.js';
import {type DocumentStore} from './document-store.js';

/** Hosts' clocks may differ by this much, in ms; changes are searched this far beyond a period. */
const clockToleranceMs = 3_600_000;

const damagedHistory = (version: number): DocumentError => ({
	kind: 'damaged-document', message: `The history entry of version ${version} does not fit the version after it; earlier versions cannot be shown.`,
});

/** Texts before the entry's change. */
const undo = (texts: SectionTexts, {change, difference}: HistoryEntry): Result<SectionTexts, DocumentError> => {
	const before = forEachSection(section => applyDifference(texts[section], reverseDifference(difference[section] ?? [])));
	return Object.values(before).includes(undefined) ? err(damagedHistory(change.version)) : ok(before as SectionTexts);
};

/** Section texts at an earlier version, by undoing the changes since. */
const textsAt = (store: DocumentStore, current: VersionedDocument, version: number): DocumentResult<SectionTexts> => {
	let texts: Result<SectionTexts, DocumentError> = ok(current.stored.sections);
	let reached = current.version;
	return store.walkBack(current, entry => {
		reached = entry.change.version;
		if (reached <= version) {
			return false;
		}

		texts = texts.andThen(after => undo(after, entry));
		return texts.isOk();
	}).andThen(() => reached === version || texts.isErr()
		? texts
		: err<SectionTexts, DocumentError>({kind: 'no-document', message: `There is no version ${version}; see "dogwoodctl document history".`}));
};

/** What changed between two versions. */
export const differenceBetween = (store: DocumentStore, fromVersion: number, toVersion: number): DocumentResult<DocumentDifference> => {
	if (fromVersion > toVersion) {
		return errAsync({kind: 'no-document', message: `Version ${fromVersion} is after ${toVersion}; give the earlier version first.`});
	}

	return store.read().andThen(current =>
		textsAt(store, current, toVersion).andThen(after =>
			textsAt(store, current, fromVersion).map(before => documentDifference(before, after))));
};

/** Latest accepted changes, newest first. */
export const listChanges = (store: DocumentStore, limit: number): DocumentResult<ChangeRecord[]> => {
	const changes: ChangeRecord[] = [];
	return store.read()
		.andThen(current => store.walkBack(current, ({change}) => changes.push(change) < limit))
		.map(() => changes);
};

/** Changes accepted from `fromUnixMs` up to, but not including, `toUnixMs`, oldest first. */
export const listChangesBetween = (store: DocumentStore, fromUnixMs: number, toUnixMs: number): DocumentResult<HistoryEntry[]> => {
	const entries: HistoryEntry[] = [];
	return store.read()
		.andThen(current => store.walkBack(current, entry => {
			if (entry.change.atUnixMs >= fromUnixMs && entry.change.atUnixMs < toUnixMs) {
				entries.push(entry);
			}

			return entry.change.atUnixMs >= fromUnixMs - clockToleranceMs;
		}))
		.map(() => entries.reverse());
};
