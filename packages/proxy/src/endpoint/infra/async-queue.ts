/** Unbounded queue that is consumed as an async iterable, e.g. as the requests of a client stream. */
export class AsyncQueue<T> implements AsyncIterable<T> {
	#items: T[] = [];
	#isClosed = false;
	#wakeReader: (() => void) | undefined;

	push(item: T): void {
		if (!this.#isClosed) {
			this.#items.push(item);
			this.#wakeReader?.();
		}
	}

	/** Ends the iteration after the queued items. */
	close(): void {
		this.#isClosed = true;
		this.#wakeReader?.();
	}

	async * [Symbol.asyncIterator](): AsyncIterator<T> {
		for (;;) {
			const items = this.#items;
			this.#items = [];
			yield * items;
			if (this.#items.length > 0) {
				continue;
			}

			if (this.#isClosed) {
				return;
			}

			await new Promise<void>(resolve => {
				this.#wakeReader = resolve;
			});
		}
	}
}
