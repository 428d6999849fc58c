/** Runs tasks of the same key one after the other, in the order in which they came. */
export class KeyLocks {
	readonly #tails = new Map<string, Promise<unknown>>();

	async run<Result>(key: string, task: () => Promise<Result>): Promise<Result> {
		const earlier = this.#tails.get(key) ?? Promise.resolve();
		const tail = (async () => {
			await Promise.allSettled([earlier]);
			return task();
		})();
		this.#tails.set(key, tail);
		try {
			return await tail;
		} finally {
			if (this.#tails.get(key) === tail) {
				this.#tails.delete(key);
			}
		}
	}
}
