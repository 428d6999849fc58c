/** Unbounded queue that is read as an async iterable; feeds a client stream. */
export class AsyncQueue<T> implements AsyncIterable<T> {
	#items: T[] = [];
	#closed = false;
	#wake: (() => void) | undefined;

	push(item: T): void {
		if (!this.#closed) {
			this.#items.push(item);
			this.#wake?.();
		}
	}

	/** Ends the iteration after what is queued. */
	close(): void {
		this.#closed = true;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncIterator<T> {
		for (;;) {
			const items = this.#items;
			this.#items = [];
			yield * items;
			if (this.#items.length > 0) {
				continue;
			}

			if (this.#closed) {
				return;
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}
}
