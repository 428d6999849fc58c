import {
	err, errAsync, ok, okAsync, ResultAsync, type Result,
} from 'neverthrow';
import {type Platform, type PlatformError} from '../../platform/index.js';
import {
	type DocumentError, type DocumentResult, type HistoryEntry, type StoredDocument, type VersionedDocument,
} from '../definitions.js';
import {historyEntrySchema} from '../domain/change.js';
import {type SectionCache} from '../domain/parse-document.js';
import {latestChange, readStoredDocument} from '../domain/stored-document.js';

/** Name of the governing document among the platform's objects of kind `document`. */
export const documentObjectName = 'governing';

const unavailableError = (error: PlatformError): DocumentError => ({
	kind: 'platform-unavailable', message: `The platform did not answer: ${error.message}`, cause: error,
});

/** How a conditional write ended. `unknown`: it may have taken effect or may still do so. */
export type WriteOutcome = {kind: 'written'; version: number} | {kind: 'conflict'} | {kind: 'unknown'; reason: string};

/** State of the object `document/governing` at the time of a read. */
export type DocumentSnapshot =
	| {kind: 'document'; current: VersionedDocument}
	| {kind: 'none'; error: DocumentError}
	| {kind: 'damaged'; version: number; error: DocumentError};

const noDocumentError: DocumentError = {
	kind: 'no-document', message: 'The platform has no governing document; create it with "dogwoodctl document init".',
};

/** Reads and writes the governing document and its history at the platform. */
export class DocumentStore {
	/** Parsed sections of the documents read, so that a later document parses only what differs. */
	readonly sectionCache: SectionCache = new Map();

	constructor(private readonly platform: Platform) {}

	read(): DocumentResult<VersionedDocument> {
		return this.readSnapshot().andThen((snapshot): Result<VersionedDocument, DocumentError> =>
			snapshot.kind === 'document' ? ok(snapshot.current) : err(snapshot.error));
	}

	/** Reads the object's state, valid or not. An error means that the platform did not answer. */
	readSnapshot(): DocumentResult<DocumentSnapshot> {
		return this.platform.get('document', documentObjectName)
			.map(({value, version}) => readStoredDocument(value, version, this.sectionCache).match(
				(current): DocumentSnapshot => ({kind: 'document', current}),
				(error): DocumentSnapshot => ({kind: 'damaged', version, error}),
			))
			.orElse((error): Result<DocumentSnapshot, DocumentError> => error.kind === 'not-found'
				? ok({kind: 'none', error: noDocumentError})
				: err(unavailableError(error)));
	}

	/** Replaces the document if its version is `expectedVersion`. An error means that nothing changed. */
	write(stored: StoredDocument, expectedVersion: number): DocumentResult<WriteOutcome> {
		return this.platform.put('document', documentObjectName, stored, expectedVersion)
			.map((version): WriteOutcome => ({kind: 'written', version}))
			.orElse((error): Result<WriteOutcome, DocumentError> => {
				if (error.kind === 'conflict') {
					return ok({kind: 'conflict'});
				}

				if (error.kind === 'too-large') {
					return err({kind: 'too-large', message: error.message, cause: error});
				}

				return error.outcomeKnown ? err(unavailableError(error)) : ok({kind: 'unknown', reason: error.message});
			});
	}

	/** Writes the history entry of the document's latest change unless it exists already. */
	recordLatestChange({stored}: VersionedDocument): DocumentResult<void> {
		const change = latestChange(stored);
		if (!change) {
			return okAsync(undefined);
		}

		const entry: HistoryEntry = {change, difference: stored.lastDifference};
		return this.platform.put('document-history', String(change.version), entry, 0)
			.map(() => undefined)
			.orElse(error => error.kind === 'conflict' ? okAsync(undefined) : errAsync(unavailableError(error)));
	}

	readHistoryEntry(version: number): DocumentResult<HistoryEntry> {
		return this.platform.get('document-history', String(version))
			.mapErr((error): DocumentError => error.kind === 'not-found'
				? {kind: 'no-document', message: `The history has no version ${version}; see "dogwoodctl document history".`, cause: error}
				: unavailableError(error))
			.andThen(({value}): Result<HistoryEntry, DocumentError> => {
				const parsed = historyEntrySchema.safeParse(value);
				return parsed.success
					? ok(parsed.data)
					: err({kind: 'damaged-document', message: `The history entry of version ${version} is damaged; earlier versions cannot be shown.`});
			});
	}

	/**
	 * Visits the entries from the document's latest change back to its creation, newest first, until
	 * `visit` returns false. Each entry after the first costs one call to the platform.
	 */
	visitHistory(current: VersionedDocument, visit: (entry: HistoryEntry) => boolean): DocumentResult<void> {
		return new ResultAsync(this.#visitHistory(current, visit));
	}

	async #visitHistory({stored}: VersionedDocument, visit: (entry: HistoryEntry) => boolean): Promise<Result<void, DocumentError>> {
		const latest = latestChange(stored);
		let entry: HistoryEntry | undefined = latest && {change: latest, difference: stored.lastDifference};
		while (entry && visit(entry) && entry.change.baseVersion > 0) {
			const earlier: Result<HistoryEntry, DocumentError> = await this.readHistoryEntry(entry.change.baseVersion);
			if (earlier.isErr()) {
				return err(earlier.error);
			}

			entry = earlier.value;
		}

		return ok(undefined);
	}
}
