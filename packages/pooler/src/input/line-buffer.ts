import {Buffer} from 'node:buffer';

export type LineBufferOptions = {
	terminator: '\n' | '\r\n';
	encoding: 'latin1' | 'utf8';
	/** Maximum length of a line without its terminator. */
	maxLineBytes: number;
};

const empty = Buffer.alloc(0);

/** A buffer over this size is not kept for the rest of the input once a line has been taken from it. */
const keptCapacityBytes = 65_536;

/**
 * Assembles lines from chunks. Bytes stay raw until their line is taken, and each is searched and copied a bounded number
 * of times, however the chunks are cut: a message of many small chunks costs no more memory or time than its length.
 */
export class LineBuffer {
	#data: Buffer = empty;
	#start = 0;
	#end = 0;
	/** Whether `#data` was allocated here, so that its free part may be written to. */
	#isOwned = false;
	/** Position of the next terminator, or -1. Everything up to `#end` has been searched. */
	#lineEnd = -1;

	constructor(private readonly options: LineBufferOptions) {}

	get hasLine(): boolean {
		return this.#lineEnd !== -1;
	}

	/** Whether input follows the next complete line. */
	get hasMore(): boolean {
		return this.hasLine && this.#lineEnd + this.options.terminator.length < this.#end;
	}

	/** Whether the next line is longer than allowed, whether it is complete or not. */
	get isTooLong(): boolean {
		const {maxLineBytes} = this.options;
		return this.hasLine ? this.#lineEnd - this.#start > maxLineBytes : this.#end - this.#start - this.#partialTerminatorBytes > maxLineBytes;
	}

	/** Memory that the buffer takes. */
	get heldBytes(): number {
		return this.#data.length;
	}

	append(chunk: Buffer): void {
		const unread = this.#end - this.#start;
		const searched = this.hasLine ? undefined : Math.max(0, unread - this.options.terminator.length + 1);
		if (unread === 0) {
			this.#replace(chunk, chunk.length, false);
		} else {
			if (!this.#isOwned || this.#data.length - this.#end < chunk.length) {
				this.#grow(unread + chunk.length);
			}

			chunk.copy(this.#data, this.#end);
			this.#end += chunk.length;
		}

		if (searched !== undefined) {
			this.#findLine(searched);
		}
	}

	takeLine(): string | undefined {
		if (!this.hasLine) {
			return undefined;
		}

		const {terminator, encoding} = this.options;
		const line = this.#data.toString(encoding, this.#start, this.#lineEnd);
		this.#start = this.#lineEnd + terminator.length;
		if (this.#start === this.#end) {
			this.clear();
			return line;
		}

		if (this.#data.length > keptCapacityBytes && this.#start > this.#data.length / 2) {
			const rest = Buffer.from(this.#data.subarray(this.#start, this.#end));
			this.#replace(rest, rest.length, false);
		}

		this.#findLine(0);
		return line;
	}

	clear(): void {
		this.#replace(empty, 0, false);
	}

	/** The first characters of the input that has not been taken. */
	preview(length: number): string {
		return this.#data.toString(this.options.encoding, this.#start, Math.min(this.#end, this.#start + length));
	}

	/** Length of the first part of a terminator at the end of the input. */
	get #partialTerminatorBytes(): number {
		const {terminator} = this.options;
		return terminator.length > 1 && this.#end > this.#start && this.#data[this.#end - 1] === terminator.codePointAt(0) ? 1 : 0;
	}

	#findLine(searched: number): void {
		const position = this.#data.subarray(this.#start + searched, this.#end).indexOf(this.options.terminator);
		this.#lineEnd = position === -1 ? -1 : this.#start + searched + position;
	}

	/** Doubles the capacity, so that the cost of copying stays linear, but not far beyond the longest line. */
	#grow(neededBytes: number): void {
		const unread = this.#end - this.#start;
		const lineEnd = this.hasLine ? this.#lineEnd - this.#start : -1;
		const capacity = Math.max(neededBytes, Math.min(2 * neededBytes, this.options.maxLineBytes + keptCapacityBytes));
		const grown = Buffer.allocUnsafeSlow(capacity);
		this.#data.copy(grown, 0, this.#start, this.#end);
		this.#replace(grown, unread, true);
		this.#lineEnd = lineEnd;
	}

	#replace(data: Buffer, length: number, isOwned: boolean): void {
		this.#data = data;
		this.#start = 0;
		this.#end = length;
		this.#isOwned = isOwned;
		this.#lineEnd = -1;
	}
}
