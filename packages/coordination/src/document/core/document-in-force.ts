import {err, ok, type Result} from 'neverthrow';
import {type TimerService} from '../../timer/index.js';
import {type DocumentError, type SectionTexts, type VersionedDocument} from '../definitions.js';
import {type SectionCache} from '../domain/parse-document.js';
import {encodeDeltaContent, encodeFullContent, decodeContent} from '../domain/peer-content.js';
import {readStoredDocument} from '../domain/stored-document.js';

/** Earlier versions kept as bases for deltas. Peers lag behind by a few versions at most; others get the full content. */
const maxDeltaBases = 4;

export type DocumentChangeListener = (next: VersionedDocument, previous: VersionedDocument | undefined) => void;

/**
 * - `applied`: the version is newer and is now in force.
 * - `current`: the version is already in force.
 * - `older`: the version is older and was ignored.
 * - `needs-full`: the content is a delta from another version; ask the peer again with known version 0.
 */
export type ApplyOutcome = 'applied' | 'current' | 'older' | 'needs-full';

/** Time at which the source was known to hold the platform's latest version. */
type Confirmation = {
	/** Monotonic time of the `TimerService`, taken before the request; absent if the source itself is not confirmed. */
	confirmedAtMs?: number;
};

export type DocumentStatus = {
	/** Version in force; 0 if there is none. */
	version: number;
	/** Time since the version was last confirmed by the platform or by a confirmed peer, in ms. */
	confirmationAgeMs: number;
	/** There is no document, or `confirmationAgeMs` exceeds the document's `documentConfirmationBoundMs`. */
	isStale: boolean;
	/** `isStale` holds, and there is no document or its `staleDocumentMakesUnready` is set. */
	shouldReportUnready: boolean;
	/** Invalid version at the platform, if it is newer than the one in force. */
	damagedVersion: number | undefined;
};

/** The version of the governing document that this process applies. The version never decreases. */
export class DocumentInForce {
	#current: VersionedDocument | undefined;
	#confirmedAtMs: number;
	#damagedVersion = 0;
	/** Earlier versions from which a delta to the current one can be computed, oldest first. */
	readonly #deltaBases: Array<{version: number; sections: SectionTexts}> = [];
	/** Encoded content for peers by the version that it is a delta from; 0 for the full content. */
	readonly #contentByBaseVersion = new Map<number, string>();
	readonly #listeners = new Set<DocumentChangeListener>();
	readonly #sectionCache: SectionCache = new Map();

	constructor(private readonly options: {timers: TimerService}) {
		this.#confirmedAtMs = options.timers.nowMs();
	}

	get current(): VersionedDocument | undefined {
		return this.#current;
	}

	/** Version in force; 0 if there is none. */
	get version(): number {
		return this.#current?.version ?? 0;
	}

	/** Monotonic time of the last confirmation, or of the construction if there was none. */
	get unconfirmedSinceMs(): number {
		return this.#confirmedAtMs;
	}

	/** Applies a value read from the platform if it is newer. An error leaves the version in force unchanged. */
	applyIfNewer(candidate: {version: number; value: unknown} & Confirmation): Result<ApplyOutcome, DocumentError> {
		return this.#applyValueIfNewer(candidate).mapErr(error => {
			this.#damagedVersion = Math.max(this.#damagedVersion, candidate.version);
			return error;
		});
	}

	/** Applies content from a peer's `peerContentSince` if it is newer. */
	applyPeerContentIfNewer({version, content, confirmedAtMs}: {version: number; content: string} & Confirmation): Result<ApplyOutcome, DocumentError> {
		if (version <= this.version) {
			return this.#applyValueIfNewer({version, value: undefined, confirmedAtMs});
		}

		const decoded = decodeContent(content, this.#current);
		if (decoded.isErr()) {
			return decoded.error === 'needs-full'
				? ok('needs-full')
				: err({kind: 'damaged-document', message: `A peer's content of version ${version} is malformed; ask another peer.`});
		}

		return this.#applyValueIfNewer({version, value: decoded.value, confirmedAtMs});
	}

	/** Records that the platform's latest version was `version` at `confirmedAtMs`. */
	confirm(version: number, confirmedAtMs: number | undefined): void {
		if (version === this.version) {
			this.#recordConfirmation(confirmedAtMs);
		}
	}

	/** Encoded content for a peer that has `knownVersion` in force; undefined if there is nothing newer. */
	peerContentSince(knownVersion: number): string | undefined {
		if (!this.#current || knownVersion >= this.version) {
			return undefined;
		}

		const base = this.#deltaBases.find(({version}) => version === knownVersion);
		const key = base?.version ?? 0;
		const {stored} = this.#current;
		const content = this.#contentByBaseVersion.get(key) ?? (base ? encodeDeltaContent(stored, base) : encodeFullContent(stored));
		this.#contentByBaseVersion.set(key, content);
		return content;
	}

	status(): DocumentStatus {
		const confirmationAgeMs = this.options.timers.nowMs() - this.#confirmedAtMs;
		const operations = this.#current?.document.operations;
		const isStale = operations === undefined || confirmationAgeMs > operations.documentConfirmationBoundMs;
		return {
			version: this.version,
			confirmationAgeMs,
			isStale,
			shouldReportUnready: isStale && (operations?.staleDocumentMakesUnready ?? true),
			damagedVersion: this.#damagedVersion > this.version ? this.#damagedVersion : undefined,
		};
	}

	/** Calls the listener after each new version; the returned function removes the listener. */
	onChange(listener: DocumentChangeListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#applyValueIfNewer({version, value, confirmedAtMs}: {version: number; value: unknown} & Confirmation): Result<ApplyOutcome, DocumentError> {
		if (version < this.version) {
			return ok('older');
		}

		if (version === this.version) {
			this.#recordConfirmation(confirmedAtMs);
			return ok('current');
		}

		const read = readStoredDocument(value, version, this.#sectionCache);
		if (read.isErr()) {
			return err(read.error);
		}

		this.#replaceCurrent(read.value);
		this.#recordConfirmation(confirmedAtMs);
		return ok('applied');
	}

	#replaceCurrent(next: VersionedDocument): void {
		const previous = this.#current;
		if (previous) {
			this.#deltaBases.push({version: previous.version, sections: previous.stored.sections});
			this.#deltaBases.splice(0, Math.max(0, this.#deltaBases.length - maxDeltaBases));
		}

		this.#current = next;
		this.#contentByBaseVersion.clear();
		for (const listener of this.#listeners) {
			listener(next, previous);
		}
	}

	#recordConfirmation(confirmedAtMs: number | undefined): void {
		// If the platform has a newer but damaged version, the one in force is no longer the latest and cannot be confirmed.
		if (confirmedAtMs !== undefined && this.#damagedVersion <= this.version) {
			this.#confirmedAtMs = Math.max(this.#confirmedAtMs, confirmedAtMs);
		}
	}
}
