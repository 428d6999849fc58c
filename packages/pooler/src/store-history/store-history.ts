import {type TimerService} from '@dogwoodthread/coordination';
import {type EventLog} from '../observability/index.js';

type Subscriber = () => void;

export type StoreHistoryOptions = {
	timers: TimerService;
	events: EventLog;
};

/**
 * Which history of the platform's store is current. A store that is restored from a backup loses its latest writes and
 * issues their revisions again; it then continues with the next generation.
 */
export class StoreHistory {
	#generation: number | undefined;
	#knownSinceMs: number;
	#hasBeenRestored = false;
	readonly #subscribers: Subscriber[] = [];

	constructor(private readonly options: StoreHistoryOptions) {
		this.#knownSinceMs = options.timers.nowMs();
	}

	/** Newest generation that an answer of the store has shown; 0 if none has, or the store has never been restored. */
	get generation(): number {
		return this.#generation ?? 0;
	}

	/**
	 * Whether the last restore certainly was more than `ageMs` ago: this host has known the current generation for so
	 * long. In generation 0 there was no restore.
	 */
	isOlderThan(ageMs: number, nowMs: number): boolean {
		return this.generation === 0 || nowMs - this.#knownSinceMs > ageMs;
	}

	/** Whether this process has seen a restore at most `ageMs` ago. */
	isRecentlyRestored(ageMs: number, nowMs: number): boolean {
		return this.#hasBeenRestored && !this.isOlderThan(ageMs, nowMs);
	}

	/** Calls `subscriber` after each restore. */
	subscribe(subscriber: Subscriber): void {
		this.#subscribers.push(subscriber);
	}

	/** Records the generation that an answer shows. Answers may arrive out of order, so an older one changes nothing. */
	observe(generation: number): void {
		if (generation <= (this.#generation ?? -1)) {
			return;
		}

		const {timers, events} = this.options;
		const previous = this.#generation;
		const nowMs = timers.nowMs();
		const previouslyKnownForMs = Math.round(nowMs - this.#knownSinceMs);
		this.#generation = generation;
		this.#knownSinceMs = nowMs;
		events.write(previous === undefined ? 'store-identified' : 'store-restored', {generation, from: previous, previouslyKnownForMs});
		if (previous === undefined) {
			return;
		}

		this.#hasBeenRestored = true;
		for (const subscriber of this.#subscribers) {
			subscriber();
		}
	}
}
