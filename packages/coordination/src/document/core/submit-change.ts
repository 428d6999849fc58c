import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {type Platform} from '../../platform/index.js';
import {type TimerService} from '../../timer/index.js';
import {
	type ChangeRecord, type DocumentError, type DocumentResult, type StoredDocument, type VersionedDocument,
} from '../definitions.js';
import {type SectionCache} from '../domain/parse-document.js';
import {readStoredDocument} from '../domain/stored-document.js';
import {DocumentStore, type DocumentSnapshot} from './document-store.js';

export type SubmitOptions = {
	platform: Platform;
	timers: TimerService;
	/** Total time for all attempts, including retries after lost races with other editors, in ms. Default: 30,000. */
	timeoutMs?: number;
	/** Random numbers from 0 to 1 for the jitter of the backoff. */
	random?: () => number;
};

/** An accepted change. */
export type AcceptedChange = VersionedDocument & {
	/** Version that the change produced; the document may be newer if `alreadyAccepted`. */
	acceptedVersion: number;
	/** A change with this id was accepted earlier, for example by a call whose answer was lost. */
	alreadyAccepted: boolean;
};

/** Conditional write that applies a change to a snapshot. */
export type PlannedWrite = {stored: StoredDocument; expectedVersion: number};

/** A change to write: its id and how to apply it to the document that is at the platform. */
export type ChangeSubmission = {
	changeId: string;
	/** The history is searched for the change id in versions after this one; without it, within `changeIdSearchWindowMs`. */
	searchAfterVersion?: number;
	/** Called once per attempt, and so again after each lost race. */
	planWrite(snapshot: DocumentSnapshot, cache: SectionCache): Result<PlannedWrite, DocumentError>;
};

/** How far back the history is searched for the change id if `searchAfterVersion` is left out. */
const changeIdSearchWindowMs = 24 * 3_600_000;
const defaultTimeoutMs = 30_000;
const initialBackoffMs = 20;
const maxBackoffMs = 1000;

/** Version of the object at the platform; 0 if there is none. */
const objectVersionOf = (snapshot: DocumentSnapshot): number => {
	if (snapshot.kind === 'document') {
		return snapshot.current.version;
	}

	return snapshot.kind === 'damaged' ? snapshot.version : 0;
};

/** Writes one change exactly once, despite lost answers, outages and races with other editors. */
class ChangeSubmitter {
	readonly #store: DocumentStore;
	readonly #deadlineMs: number;
	readonly #random: () => number;
	/** Version that an unanswered write would replace; undefined if no write has an unknown outcome. */
	#unresolvedBaseVersion: number | undefined;
	#backoffMs = initialBackoffMs;

	constructor(private readonly options: SubmitOptions, private readonly submission: ChangeSubmission) {
		this.#store = new DocumentStore(options.platform);
		this.#deadlineMs = options.timers.nowMs() + (options.timeoutMs ?? defaultTimeoutMs);
		this.#random = options.random ?? Math.random;
	}

	async run(): Promise<Result<AcceptedChange, DocumentError>> {
		for (;;) {
			const step = await this.#tryOnce();
			if (step.isOk() && step.value !== 'retry') {
				return ok(step.value);
			}

			if (step.isErr() && step.error.kind !== 'platform-unavailable') {
				return err(step.error);
			}

			if (this.options.timers.nowMs() + this.#backoffMs >= this.#deadlineMs) {
				return err(this.#timeoutError(step.isErr() ? step.error : undefined));
			}

			await this.#backOff();
		}
	}

	async #tryOnce(): Promise<Result<AcceptedChange | 'retry', DocumentError>> {
		const read = await this.#store.readSnapshot();
		if (read.isErr()) {
			return err(read.error);
		}

		const snapshot = read.value;
		const found = await this.#findAcceptedChange(snapshot);
		if (found.isErr() || found.value) {
			return found.map(accepted => accepted ?? 'retry');
		}

		if (!this.#tryResolveUnansweredWrite(snapshot)) {
			return err(this.#outcomeUnknownError(snapshot.kind === 'document' ? undefined : snapshot.error));
		}

		const planned = this.submission.planWrite(snapshot, this.#store.sectionCache);
		if (planned.isErr()) {
			return err(planned.error);
		}

		// Once this version is replaced, its stored difference is gone and its history entry can no longer be written.
		const recorded = snapshot.kind === 'document' ? await this.#store.recordLatestChange(snapshot.current) : ok(undefined);
		return recorded.isErr() ? err(recorded.error) : this.#write(planned.value);
	}

	async #write({stored, expectedVersion}: PlannedWrite): Promise<Result<AcceptedChange | 'retry', DocumentError>> {
		const written = await this.#store.write(stored, expectedVersion);
		if (written.isErr()) {
			return err(written.error);
		}

		if (written.value.kind !== 'written') {
			this.#unresolvedBaseVersion = written.value.kind === 'unknown' ? expectedVersion : this.#unresolvedBaseVersion;
			return ok('retry');
		}

		const {version} = written.value;
		const current = readStoredDocument(stored, version, this.#store.sectionCache);
		if (current.isErr()) {
			return err(current.error);
		}

		// A failure is ignored: the next editor writes the entry before it replaces this version.
		await this.#store.recordLatestChange(current.value);
		return ok({...current.value, acceptedVersion: version, alreadyAccepted: false});
	}

	/**
	 * Forgets an unanswered write once it can no longer take effect, which is when the object has another
	 * version than the one it would replace. Returns false if that other version is not a valid document,
	 * so that it does not show whether the write took effect before.
	 */
	#tryResolveUnansweredWrite(snapshot: DocumentSnapshot): boolean {
		if (this.#unresolvedBaseVersion === undefined || this.#unresolvedBaseVersion === objectVersionOf(snapshot)) {
			return true;
		}

		if (snapshot.kind !== 'document') {
			return false;
		}

		this.#unresolvedBaseVersion = undefined;
		return true;
	}

	/** Looks for the change id in the document's recent changes, and in the history if they do not reach back far enough. */
	async #findAcceptedChange(snapshot: DocumentSnapshot): Promise<Result<AcceptedChange | undefined, DocumentError>> {
		if (snapshot.kind !== 'document') {
			return ok(undefined);
		}

		const {current} = snapshot;
		const {changeId, searchAfterVersion = 0} = this.submission;
		const sinceUnixMs = this.submission.searchAfterVersion === undefined ? this.options.timers.wallClockMs() - changeIdSearchWindowMs : 0;
		const recent = current.stored.recentChanges;
		const oldest = recent.at(0);
		const isInSearchRange = (change: ChangeRecord): boolean => change.version > searchAfterVersion && change.atUnixMs >= sinceUnixMs;
		let found = recent.find(change => change.changeId === changeId);
		if (!found && oldest && oldest.baseVersion > 0 && isInSearchRange({...oldest, version: oldest.baseVersion})) {
			const visited = await this.#store.visitHistory(current, ({change}) => {
				found = change.changeId === changeId ? change : undefined;
				return !found && isInSearchRange(change);
			});
			if (visited.isErr()) {
				return err(visited.error.kind === 'platform-unavailable' ? visited.error : this.#outcomeUnknownError(visited.error));
			}
		}

		if (!found) {
			return ok(undefined);
		}

		await this.#store.recordLatestChange(current);
		return ok({...current, acceptedVersion: found.version, alreadyAccepted: true});
	}

	/** The error to return when the time for all attempts is used up. */
	#timeoutError(error: DocumentError | undefined): DocumentError {
		if (this.#unresolvedBaseVersion !== undefined) {
			return this.#outcomeUnknownError(error);
		}

		return error ?? {kind: 'platform-unavailable', message: 'Other editors won every write race until the timeout; nothing changed. Repeat the edit.'};
	}

	#outcomeUnknownError(cause: DocumentError | undefined): DocumentError {
		const reason = cause ? ` (${cause.message})` : '';
		return {
			kind: 'outcome-unknown',
			message: `It is unknown whether the change was accepted${reason}. Repeat it with the change id ${this.submission.changeId}; it is applied at most once.`,
			cause,
		};
	}

	async #backOff(): Promise<void> {
		await this.options.timers.sleep(this.#backoffMs * (0.5 + (this.#random() / 2)));
		this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2);
	}
}

/** Writes a change at most once: a change whose id is found in the searched history is not written again. */
export const submitChange = (options: SubmitOptions, submission: ChangeSubmission): DocumentResult<AcceptedChange> =>
	new ResultAsync(new ChangeSubmitter(options, submission).run());
