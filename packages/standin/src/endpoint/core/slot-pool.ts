/** Statement slots of an instance; statements wait for one in the order in which they came. */
export class SlotPool {
	#busy = 0;
	readonly #waiting: Array<() => void> = [];

	constructor(readonly size: number) {}

	get busy(): number {
		return this.#busy;
	}

	async acquire(): Promise<void> {
		if (this.#busy < this.size) {
			this.#busy += 1;
			return;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
		});
	}

	/** Passes the slot to the first waiting statement, if any. */
	release(): void {
		const next = this.#waiting.shift();
		if (next) {
			next();
		} else {
			this.#busy -= 1;
		}
	}
}
