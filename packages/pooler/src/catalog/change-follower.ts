import {type TimerService} from '@dogwoodthread/coordination';
import {type Result} from 'neverthrow';
import {type EventLog} from '../observability/index.js';
import {type CatalogPart} from './definitions.js';
import {type WatchTiming} from './watch-timing.js';

/** Changes up to `revision` of the store, from which a watch continues. */
export type ChangeBatch<Change> = {
	changes: Change[];
	revision: number;
	/** False if some changes could not be read and are missing. */
	isComplete: boolean;
};

/**
 * - `history-gone`: the store no longer knows the changes since the revision.
 * - `unavailable`: no answer, or refused for now.
 */
export type ChangeFeedError = {
	kind: 'history-gone' | 'unavailable';
	message: string;
	/** Whether a call without an answer had gone over a connection that served an earlier one. */
	isReusedConnection?: boolean;
};

/** Objects of one kind in a store that can be listed and watched. */
export type ChangeFeed<Change> = {
	/** All objects, as changes. */
	list(): Promise<Result<ChangeBatch<Change>, ChangeFeedError>>;
	/** Changes after `revision`, as soon as there are any; none after `waitMs` without. */
	watch(revision: number, timing: WatchTiming): Promise<Result<ChangeBatch<Change>, ChangeFeedError>>;
};

export type ChangeFollowerOptions<Change> = {
	part: CatalogPart;
	feed: ChangeFeed<Change>;
	/** Timing of the watches that wait. */
	timing: WatchTiming;
	timers: TimerService;
	events: EventLog;
	/** Takes over the whole list. */
	onList: (changes: Change[]) => void;
	onChanges: (changes: Change[]) => void;
	/** Told after each answer, once its changes were taken over. */
	onConfirmed: () => void;
};

/** Pause after changes in ms, so that changes which come together take one call. */
const coalesceMs = 250;
/** Shortest time from one failed call to the next in ms, doubled up to the maximum. */
const minRetryMs = 100;
const maxRetryMs = 800;
/** Time for a watch that does not wait, in ms; longer than that of a waiting one, so that a slow store is not taken for a silent one. */
const checkTiming: WatchTiming = {waitMs: 0, timeoutMs: 1500};

/** Follows one part of the catalog: one list, then watches. Runs until it is stopped. */
export class ChangeFollower<Change> {
	#stopped = false;
	#revision: number | undefined;
	#isLost = false;
	#confirmedAtMs: number;

	constructor(private readonly options: ChangeFollowerOptions<Change>) {
		this.#confirmedAtMs = options.timers.nowMs();
	}

	stop(): void {
		this.#stopped = true;
	}

	async run(): Promise<void> {
		const {timers} = this.options;
		let retryMs = minRetryMs;
		while (!this.#stopped) {
			const startedMs = timers.nowMs();
			const answer = await this.#ask();
			if (answer.isOk()) {
				retryMs = minRetryMs;
				if (answer.value > 0) {
					await timers.sleep(coalesceMs);
				}
			} else if (answer.error.kind === 'unavailable') {
				const elapsedMs = timers.nowMs() - startedMs;
				await timers.sleep(Math.max(0, retryMs - elapsedMs));
				retryMs = Math.min(maxRetryMs, retryMs * 2);
			}
		}
	}

	/** One call; gives the number of changes that a watch brought. */
	async #ask(): Promise<Result<number, ChangeFeedError>> {
		const {feed, timers, onList, onChanges, onConfirmed} = this.options;
		const revision = this.#revision;
		// After a call without an answer the next one does not wait: what was missed meanwhile must come at once.
		const timing = this.#isLost ? checkTiming : this.options.timing;
		const startedMs = timers.nowMs();
		const answer = revision === undefined ? await feed.list() : await feed.watch(revision, timing);
		this.#note(answer, {waitMs: revision === undefined ? 0 : timing.waitMs, openMs: Math.round(timers.nowMs() - startedMs)});
		if (answer.isErr()) {
			this.#revision = answer.error.kind === 'history-gone' ? undefined : revision;
			return answer.map(() => 0);
		}

		const {changes, isComplete} = answer.value;
		// The list may still show what an unreadable event was about. What is unreadable there too is left alone.
		this.#revision = isComplete || revision === undefined ? answer.value.revision : undefined;
		if (revision === undefined) {
			onList(changes);
		} else if (changes.length > 0) {
			onChanges(changes);
		}

		onConfirmed();
		return answer.map(() => revision === undefined ? 0 : changes.length);
	}

	/** Logs each call that got no answer, and the first answer after it. */
	#note(answer: Result<unknown, ChangeFeedError>, call: {waitMs: number; openMs: number}): void {
		const {events, timers, part} = this.options;
		const unconfirmedMs = Math.round(timers.nowMs() - this.#confirmedAtMs);
		if (answer.isErr()) {
			const {message, isReusedConnection} = answer.error;
			this.#isLost = true;
			events.write('watch-lost', {
				part, ...call, unconfirmedMs, reason: message, isReusedConnection,
			});
			return;
		}

		this.#confirmedAtMs = timers.nowMs();
		if (this.#isLost) {
			this.#isLost = false;
			events.write('watch-restored', {part, ...call, unconfirmedMs});
		}
	}
}
