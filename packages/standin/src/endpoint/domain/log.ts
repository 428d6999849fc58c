import {type LogEntry, type Position, type TermStart} from '../definitions.js';

/** Log of one instance. Indexes start at 1 and have no gaps. */
export class ReplicatedLog {
	readonly #entries: LogEntry[] = [];

	get entries(): readonly LogEntry[] {
		return this.#entries;
	}

	get last(): Position {
		return this.positionAt(this.#entries.length);
	}

	/** Position of the entry at an index; index 0 gives the position before the first entry. */
	positionAt(index: number): Position {
		return {term: this.#entries[index - 1]?.term ?? 0, index};
	}

	has({term, index}: Position): boolean {
		return index <= this.#entries.length && this.positionAt(index).term === term;
	}

	/** Entries after an index, at most `limit` of them. */
	after(index: number, limit: number): LogEntry[] {
		return this.#entries.slice(index, index + limit);
	}

	/** Adds an entry that follows the last one. */
	append(entry: LogEntry): void {
		if (entry.index !== this.#entries.length + 1) {
			throw new Error(`Entry ${entry.index} does not follow entry ${this.#entries.length}.`);
		}

		this.#entries.push(entry);
	}

	/** Drops all entries after an index. */
	truncate(index: number): void {
		this.#entries.length = Math.min(this.#entries.length, index);
	}

	termStarts(): TermStart[] {
		const starts: TermStart[] = [];
		for (const {term, index} of this.#entries) {
			if (starts.at(-1)?.term !== term) {
				starts.push({term, firstIndex: index});
			}
		}

		return starts;
	}

	/** Last index up to which this log equals one with the given term starts and length. */
	commonIndex(lastIndex: number, termStarts: TermStart[]): number {
		let index = Math.min(lastIndex, this.#entries.length);
		while (index > 0 && termAt(termStarts, index) !== this.positionAt(index).term) {
			index -= 1;
		}

		return index;
	}
}

const termAt = (termStarts: TermStart[], index: number): number =>
	termStarts.findLast(({firstIndex}) => firstIndex <= index)?.term ?? 0;
