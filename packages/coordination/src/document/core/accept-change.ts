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
import {DocumentStore, type Snapshot} from './document-store.js';

export type AcceptOptions = {
	platform: Platform;
	timers: TimerService;
	/** Time to get an answer from the platform and to win against other editors, in ms; 30,000 if left out. */
	timeoutMs?: number;
	/** Source of jitter, from 0 to 1. */
	random?: () => number;
};

/** An accepted change. */
export type Acceptance = VersionedDocument & {
	/** Version that the change made; the document may be newer if the change was found to be accepted before. */
	acceptedVersion: number;
	/** The change id had been accepted before, for example by a call whose answer was lost. */
	alreadyAccepted: boolean;
};

/** What to write on top of a snapshot. */
export type Plan = {stored: StoredDocument; expectedVersion: number};

export type ChangeAttempt = {
	changeId: string;
	/** Change ids are searched back to this version. */
	sinceVersion?: number;
	/** Called again after each lost race. */
	plan(snapshot: Snapshot, cache: SectionCache): Result<Plan, DocumentError>;
};

/** Without a version to search back to, change ids are searched this far back, in ms. */
const changeIdMemoryMs = 24 * 3_600_000;
const defaultTimeoutMs = 30_000;
const firstPauseMs = 20;
const longestPauseMs = 1000;

const versionOf = (snapshot: Snapshot): number => {
	if (snapshot.kind === 'document') {
		return snapshot.current.version;
	}

	return snapshot.kind === 'damaged' ? snapshot.version : 0;
};

/** Writes one change exactly once, through lost answers, outages and races with other editors. */
class AcceptChange {
	readonly #store: DocumentStore;
	readonly #deadlineMs: number;
	readonly #random: () => number;
	/** Version that a write without an answer would replace. */
	#openVersion: number | undefined;
	#pauseMs = firstPauseMs;

	constructor(private readonly options: AcceptOptions, private readonly attempt: ChangeAttempt) {
		this.#store = new DocumentStore(options.platform);
		this.#deadlineMs = options.timers.nowMs() + (options.timeoutMs ?? defaultTimeoutMs);
		this.#random = options.random ?? Math.random;
	}

	async run(): Promise<Result<Acceptance, DocumentError>> {
		for (;;) {
			const step = await this.#step();
			if (step.isOk() && step.value !== 'again') {
				return ok(step.value);
			}

			if (step.isErr() && step.error.kind !== 'platform-unavailable') {
				return err(step.error);
			}

			if (this.options.timers.nowMs() + this.#pauseMs >= this.#deadlineMs) {
				return err(this.#lastError(step.isErr() ? step.error : undefined));
			}

			await this.#pause();
		}
	}

	async #step(): Promise<Result<Acceptance | 'again', DocumentError>> {
		const read = await this.#store.snapshot();
		if (read.isErr()) {
			return err(read.error);
		}

		const snapshot = read.value;
		const found = await this.#findAccepted(snapshot);
		if (found.isErr() || found.value) {
			return found.map(acceptance => acceptance ?? 'again');
		}

		if (!this.#settleOpenWrite(snapshot)) {
			return err(this.#outcomeUnknown(snapshot.kind === 'document' ? undefined : snapshot.error));
		}

		const plan = this.attempt.plan(snapshot, this.#store.cache);
		if (plan.isErr()) {
			return err(plan.error);
		}

		// The entry of the version about to be replaced cannot be written afterwards.
		const recorded = snapshot.kind === 'document' ? await this.#store.recordLatest(snapshot.current) : ok(undefined);
		return recorded.isErr() ? err(recorded.error) : this.#write(plan.value);
	}

	async #write({stored, expectedVersion}: Plan): Promise<Result<Acceptance | 'again', DocumentError>> {
		const written = await this.#store.write(stored, expectedVersion);
		if (written.isErr()) {
			return err(written.error);
		}

		if (written.value.kind !== 'written') {
			this.#openVersion = written.value.kind === 'open' ? expectedVersion : this.#openVersion;
			return ok('again');
		}

		const {version} = written.value;
		const current = readStoredDocument(stored, version, this.#store.cache);
		if (current.isErr()) {
			return err(current.error);
		}

		// A failure here is made good by the next editor, before it replaces this version.
		await this.#store.recordLatest(current.value);
		return ok({...current.value, acceptedVersion: version, alreadyAccepted: false});
	}

	/**
	 * A write without an answer can no longer take effect once the object has moved on. Gives false if
	 * the object moved on to something that does not show whether the write had taken effect before.
	 */
	#settleOpenWrite(snapshot: Snapshot): boolean {
		if (this.#openVersion === undefined || this.#openVersion === versionOf(snapshot)) {
			return true;
		}

		if (snapshot.kind !== 'document') {
			return false;
		}

		this.#openVersion = undefined;
		return true;
	}

	async #findAccepted(snapshot: Snapshot): Promise<Result<Acceptance | undefined, DocumentError>> {
		if (snapshot.kind !== 'document') {
			return ok(undefined);
		}

		const {current} = snapshot;
		const {changeId, sinceVersion = 0} = this.attempt;
		const sinceUnixMs = this.attempt.sinceVersion === undefined ? this.options.timers.wallClockMs() - changeIdMemoryMs : 0;
		const recent = current.stored.recentChanges;
		const oldest = recent.at(0);
		const isSearched = (change: ChangeRecord): boolean => change.version > sinceVersion && change.atUnixMs >= sinceUnixMs;
		let found = recent.find(change => change.changeId === changeId);
		if (!found && oldest && oldest.baseVersion > 0 && isSearched({...oldest, version: oldest.baseVersion})) {
			const walked = await this.#store.walkBack(current, ({change}) => {
				found = change.changeId === changeId ? change : undefined;
				return !found && isSearched(change);
			});
			if (walked.isErr()) {
				return err(walked.error.kind === 'platform-unavailable' ? walked.error : this.#outcomeUnknown(walked.error));
			}
		}

		if (!found) {
			return ok(undefined);
		}

		await this.#store.recordLatest(current);
		return ok({...current, acceptedVersion: found.version, alreadyAccepted: true});
	}

	#lastError(error: DocumentError | undefined): DocumentError {
		if (this.#openVersion !== undefined) {
			return this.#outcomeUnknown(error);
		}

		return error ?? {kind: 'platform-unavailable', message: 'Other editors were faster until the time was up; nothing changed. Repeat the edit.'};
	}

	#outcomeUnknown(cause: DocumentError | undefined): DocumentError {
		const reason = cause ? ` (${cause.message})` : '';
		return {
			kind: 'outcome-unknown',
			message: `Nothing says whether the change was accepted${reason}. Repeat it with the change id ${this.attempt.changeId}; it is applied at most once.`,
			cause,
		};
	}

	async #pause(): Promise<void> {
		await this.options.timers.sleep(this.#pauseMs * (0.5 + (this.#random() / 2)));
		this.#pauseMs = Math.min(longestPauseMs, this.#pauseMs * 2);
	}
}

export const acceptChange = (options: AcceptOptions, attempt: ChangeAttempt): DocumentResult<Acceptance> =>
	new ResultAsync(new AcceptChange(options, attempt).run());
