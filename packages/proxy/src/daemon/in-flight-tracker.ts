/** Counts requests in flight, so that a shutdown can wait for them. */
export class InFlightTracker {
	#count = 0;
	readonly #idleWaiters: Array<() => void> = [];

	get count(): number {
		return this.#count;
	}

	readonly track = async <T>(work: Promise<T>): Promise<T> => {
		this.#count += 1;
		try {
			return await work;
		} finally {
			this.#count -= 1;
			if (this.#count === 0) {
				for (const resolve of this.#idleWaiters.splice(0)) {
					resolve();
				}
			}
		}
	};

	/** Resolves when nothing is in flight. */
	async whenIdle(): Promise<void> {
		if (this.#count > 0) {
			await new Promise<void>(resolve => {
				this.#idleWaiters.push(resolve);
			});
		}
	}
}
