type Sample = {askedAtMs: number; index: number};

// At one sample every 200 ms this covers 51 s, more than any stated age in use.
const maxSamples = 256;

/**
 * Bounds the age of a replica without comparing clocks of two hosts.
 *
 * Each sample says that the primary's log ended at `index` at some time after `askedAtMs` of the local
 * monotonic clock. A replica that has applied `index` holds everything that was committed before
 * `askedAtMs`.
 */
export class PositionSamples {
	#term = 0;
	#samples: Sample[] = [];

	add(term: number, askedAtMs: number, index: number): void {
		if (term < this.#term) {
			return;
		}

		if (term > this.#term) {
			this.#term = term;
			this.#samples = [];
		}

		const last = this.#samples.at(-1);
		if (last?.index === index) {
			// Only the latest time at which the log still ended here matters.
			last.askedAtMs = Math.max(last.askedAtMs, askedAtMs);
			return;
		}

		this.#samples.push({askedAtMs, index});
		if (this.#samples.length > maxSamples) {
			this.#samples.shift();
		}
	}

	/** Upper bound of the age in ms of a replica that has applied `appliedIndex`, or undefined if unknown. */
	ageBoundMs(term: number, appliedIndex: number, nowMs: number): number | undefined {
		if (term !== this.#term) {
			return undefined;
		}

		const sample = this.#samples.findLast(({index}) => index <= appliedIndex);
		return sample && nowMs - sample.askedAtMs;
	}
}
