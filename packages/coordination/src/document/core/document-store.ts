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

export const documentName = 'governing';

const unavailable = (error: PlatformError): DocumentError => ({
	kind: 'platform-unavailable', message: `The platform did not answer: ${error.message}`, cause: error,
});

/** How a conditional write ended. `open` means that it may have taken effect or may still do so. */
export type WriteOutcome = {kind: 'written'; version: number} | {kind: 'conflict'} | {kind: 'open'; reason: string};

/** The object `document/governing` as it was read. */
export type Snapshot =
	| {kind: 'document'; current: VersionedDocument}
	| {kind: 'none'; error: DocumentError}
	| {kind: 'damaged'; version: number; error: DocumentError};

const noDocument: DocumentError = {
	kind: 'no-document', message: 'The platform has no governing document; create it with "dogwoodctl document init".',
};

/** The governing document and its history at the platform. */
export class DocumentStore {
	/** Parsed sections, for documents that build on what was read here. */
	readonly cache: SectionCache = new Map();

	constructor(private readonly platform: Platform) {}

	read(): DocumentResult<VersionedDocument> {
		return this.snapshot().andThen((snapshot): Result<VersionedDocument, DocumentError> =>
			snapshot.kind === 'document' ? ok(snapshot.current) : err(snapshot.error));
	}

	/** The object as it is; an error means that the platform did not answer. */
	snapshot(): DocumentResult<Snapshot> {
		return this.platform.get('document', documentName)
			.map(({value, version}) => readStoredDocument(value, version, this.cache).match(
				(current): Snapshot => ({kind: 'document', current}),
				(error): Snapshot => ({kind: 'damaged', version, error}),
			))
			.orElse((error): Result<Snapshot, DocumentError> => error.kind === 'not-found'
				? ok({kind: 'none', error: noDocument})
				: err(unavailable(error)));
	}

	/** Replaces the document if its version is `expectedVersion`. An error means that nothing changed. */
	write(stored: StoredDocument, expectedVersion: number): DocumentResult<WriteOutcome> {
		return this.platform.put('document', documentName, stored, expectedVersion)
			.map((version): WriteOutcome => ({kind: 'written', version}))
			.orElse((error): Result<WriteOutcome, DocumentError> => {
				if (error.kind === 'conflict') {
					return ok({kind: 'conflict'});
				}

				if (error.kind === 'too-large') {
					return err({kind: 'too-large', message: error.message, cause: error});
				}

				return error.outcomeKnown ? err(unavailable(error)) : ok({kind: 'open', reason: error.message});
			});
	}

	/** Makes sure that the history has the entry of the document's latest change. */
	recordLatest({stored}: VersionedDocument): DocumentResult<void> {
		const change = latestChange(stored);
		if (!change) {
			return okAsync(undefined);
		}

		const entry: HistoryEntry = {change, difference: stored.lastDifference};
		return this.platform.put('document-history', String(change.version), entry, 0)
			.map(() => undefined)
			.orElse(error => error.kind === 'conflict' ? okAsync(undefined) : errAsync(unavailable(error)));
	}

	entry(version: number): DocumentResult<HistoryEntry> {
		return this.platform.get('document-history', String(version))
			.mapErr((error): DocumentError => error.kind === 'not-found'
				? {kind: 'no-document', message: `The history has no version ${version}; see "dogwoodctl document history".`, cause: error}
				: unavailable(error))
			.andThen(({value}): Result<HistoryEntry, DocumentError> => {
				const parsed = historyEntrySchema.safeParse(value);
				return parsed.success
					? ok(parsed.data)
					: err({kind: 'damaged-document', message: `The history entry of version ${version} is damaged; earlier versions cannot be shown.`});
			});
	}

	/**
	 * Visits the entries from the document's latest change back to its creation, newest first, until
	 * `visit` gives false. Each entry is one call to the platform.
	 */
	walkBack(current: VersionedDocument, visit: (entry: HistoryEntry) => boolean): DocumentResult<void> {
		return new ResultAsync(this.#walk(current, visit));
	}

	async #walk({stored}: VersionedDocument, visit: (entry: HistoryEntry) => boolean): Promise<Result<void, DocumentError>> {
		const latest = latestChange(stored);
		let entry: HistoryEntry | undefined = latest && {change: latest, difference: stored.lastDifference};
		while (entry && visit(entry) && entry.change.baseVersion > 0) {
			const earlier: Result<HistoryEntry, DocumentError> = await this.entry(entry.change.baseVersion);
			if (earlier.isErr()) {
				return err(earlier.error);
			}

			entry = earlier.value;
		}

		return ok(undefined);
	}
}
