/** Keeps the last lines of a text stream, so that a long run does not grow without bound. */
export class LogRing {
	readonly #maxLines: number;
	readonly #onLine: (line: string) => void;
	#lines: string[] = [];
	#partial = '';

	constructor(maxLines: number, onLine: (line: string) => void = () => undefined) {
		this.#maxLines = maxLines;
		this.#onLine = onLine;
	}

	/** Appends a chunk; a line that is cut between two chunks is put together. */
	push(chunk: string): void {
		const parts = (this.#partial + chunk).split('\n');
		this.#partial = parts.pop() ?? '';
		for (const line of parts) {
			this.#lines.push(line);
			this.#onLine(line);
		}

		// Trimming in bulk keeps the cost per line constant.
		if (this.#lines.length > this.#maxLines * 2) {
			this.#lines = this.#lines.slice(-this.#maxLines);
		}
	}

	lines(): string[] {
		const all = this.#partial === '' ? this.#lines : [...this.#lines, this.#partial];
		return all.slice(-this.#maxLines);
	}
}
