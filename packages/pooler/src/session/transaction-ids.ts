import {copyText} from '../session-memory/index.js';

/** A transaction has up to 14 statements with its `BEGIN` and `COMMIT`; a client may send any number. */
const maxIds = 16;
/** Usual ids have 16 characters. */
const maxIdLength = 64;
/** Memory of an id beyond its text. */
const idOverheadBytes = 48;

/** The ids of the first statements of a transaction, for the log. Takes at most `maxBytes`, whatever the client sends. */
export class TransactionIds {
	static readonly maxBytes = maxIds * (maxIdLength + idOverheadBytes);
	readonly #ids: string[] = [];
	#omitted = 0;

	get list(): readonly string[] {
		return this.#omitted === 0 ? this.#ids : [...this.#ids, `(${this.#omitted} more)`];
	}

	add(id: string): void {
		if (this.#ids.length < maxIds) {
			this.#ids.push(copyText(id.slice(0, maxIdLength)));
		} else {
			this.#omitted += 1;
		}
	}
}
