import {err, ok, type Result} from 'neverthrow';
import {type TimerService} from '../../timer/index.js';
import {type DocumentError, type SectionTexts, type VersionedDocument} from '../definitions.js';
import {type SectionCache} from '../domain/parse-document.js';
import {deltaContent, fullContent, readContent} from '../domain/peer-content.js';
import {readStoredDocument} from '../domain/stored-document.js';

/** Earlier versions kept to make deltas for peers from; several peers lag behind by a few versions at most. */
const keptVersions = 4;

export type DocumentListener = (next: VersionedDocument, previous: VersionedDocument | undefined) => void;

/**
 * - `applied`: newer; now in force.
 * - `current`: the version that is in force.
 * - `older`: ignored.
 * - `needs-full`: a delta from another version; ask the peer again with known version 0.
 */
export type OfferOutcome = 'applied' | 'current' | 'older' | 'needs-full';

/** Time at which the offering side was known to hold the platform's latest version. */
type Confirmation = {
	/** Monotonic time of the `TimerService`, taken before asking; absent if the source is not confirmed itself. */
	confirmedAtMs?: number;
};

export type DocumentStatus = {
	/** 0 for none. */
	version: number;
	/** Time since the version was last confirmed by the platform or by a confirmed peer, in ms. */
	confirmationAgeMs: number;
	/** The age is over the document's own bound. */
	isStale: boolean;
	/** The document asks stale proxies to report that they are not ready. */
	makesUnready: boolean;
	/** Version at the platform that could not be used, if it is newer than the one in force. */
	damagedVersion: number | undefined;
};

/** The governing document that this process acts by. Versions only ever increase. */
export class DocumentInForce {
	#current: VersionedDocument | undefined;
	#confirmedAtMs: number;
	#damagedVersion = 0;
	readonly #earlier: Array<{version: number; sections: SectionTexts}> = [];
	readonly #contents = new Map<number, string>();
	readonly #listeners = new Set<DocumentListener>();
	readonly #cache: SectionCache = new Map();

	constructor(private readonly options: {timers: TimerService}) {
		this.#confirmedAtMs = options.timers.nowMs();
	}

	get current(): VersionedDocument | undefined {
		return this.#current;
	}

	/** 0 for none. */
	get version(): number {
		return this.#current?.version ?? 0;
	}

	/** Monotonic time since which the version has not been confirmed; the start if it never was. */
	get unconfirmedSinceMs(): number {
		return this.#confirmedAtMs;
	}

	/** Takes a value read from the platform. An error leaves the version in force as it is. */
	offer(offered: {version: number; value: unknown} & Confirmation): Result<OfferOutcome, DocumentError> {
		return this.#take(offered).mapErr(error => {
			this.#damagedVersion = Math.max(this.#damagedVersion, offered.version);
			return error;
		});
	}

	/** Takes a peer's content, as made by `contentFor` there. */
	offerContent({version, content, confirmedAtMs}: {version: number; content: string} & Confirmation): Result<OfferOutcome, DocumentError> {
		if (version <= this.version) {
			return this.#take({version, value: undefined, confirmedAtMs});
		}

		const read = readContent(content, this.#current);
		if (read.isErr()) {
			return read.error === 'needs-full'
				? ok('needs-full')
				: err({kind: 'damaged-document', message: `A peer's content of version ${version} is malformed; ask another peer.`});
		}

		return this.#take({version, value: read.value, confirmedAtMs});
	}

	/** Notes that the platform's latest version was `version` at `confirmedAtMs`. */
	confirm(version: number, confirmedAtMs: number | undefined): void {
		if (version === this.version) {
			this.#confirm(confirmedAtMs);
		}
	}

	/** Content for a peer that has `knownVersion` in force; undefined if there is nothing newer. */
	contentFor(knownVersion: number): string | undefined {
		if (!this.#current || knownVersion >= this.version) {
			return undefined;
		}

		const base = this.#earlier.find(({version}) => version === knownVersion);
		const key = base?.version ?? 0;
		const {stored} = this.#current;
		const content = this.#contents.get(key) ?? (base ? deltaContent(stored, base) : fullContent(stored));
		this.#contents.set(key, content);
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
			makesUnready: isStale && (operations?.staleDocumentMakesUnready ?? true),
			damagedVersion: this.#damagedVersion > this.version ? this.#damagedVersion : undefined,
		};
	}

	/** Calls the listener after each new version; the returned function ends it. */
	onChange(listener: DocumentListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#take({version, value, confirmedAtMs}: {version: number; value: unknown} & Confirmation): Result<OfferOutcome, DocumentError> {
		if (version < this.version) {
			return ok('older');
		}

		if (version === this.version) {
			this.#confirm(confirmedAtMs);
			return ok('current');
		}

		const read = readStoredDocument(value, version, this.#cache);
		if (read.isErr()) {
			return err(read.error);
		}

		this.#apply(read.value);
		this.#confirm(confirmedAtMs);
		return ok('applied');
	}

	#apply(next: VersionedDocument): void {
		const previous = this.#current;
		if (previous) {
			this.#earlier.push({version: previous.version, sections: previous.stored.sections});
			this.#earlier.splice(0, Math.max(0, this.#earlier.length - keptVersions));
		}

		this.#current = next;
		this.#contents.clear();
		for (const listener of this.#listeners) {
			listener(next, previous);
		}
	}

	#confirm(confirmedAtMs: number | undefined): void {
		// A version known to be superseded by a damaged one is no longer the platform's latest.
		if (confirmedAtMs !== undefined && this.#damagedVersion <= this.version) {
			this.#confirmedAtMs = Math.max(this.#confirmedAtMs, confirmedAtMs);
		}
	}
}
