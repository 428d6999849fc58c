import {type HistoryEntry} from '../definitions.js';

/** Records every attempt of every request, in the order in which the attempts ended. */
export class HistoryRecorder {
	readonly #entries: HistoryEntry[] = [];

	record(entry: Omit<HistoryEntry, 'id'>): HistoryEntry {
		const recorded = {...entry, id: this.#entries.length};
		this.#entries.push(recorded);
		return recorded;
	}

	entries(): readonly HistoryEntry[] {
		return this.#entries;
	}
}
