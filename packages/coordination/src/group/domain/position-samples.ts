type Sample = {requestedAtMs: number; index: number};

// At one sample every 200 ms this covers 51 s, longer than any staleness bound in use.
const maxSamples = 256;

/**
 * Computes an upper bound of a replica's age without comparing the clocks of two hosts.
 *
 * Each sample states that the primary's log ended at `index` at some time after `requestedAtMs` of the local
 * monotonic clock. A replica that has applied `index` therefore holds everything that was committed before
 * `requestedAtMs`.
 */
export class PositionSamples {
	#term = 0;
	#samples: Sample[] = [];

	add(term: number, requestedAtMs: number, index: number): void {
		if (term < this.#term) {
			return;
		}

		if (term > this.#term) {
			this.#term = term;
			this.#samples = [];
		}

		const last = this.#samples.at(-1);
		if (last?.index === index) {
			// Only the latest time at which the log still ended at this index is needed.
			last.requestedAtMs = Math.max(last.requestedAtMs, requestedAtMs);
			return;
		}

		this.#samples.push({requestedAtMs, index});
		if (this.#samples.length > maxSamples) {
			this.#samples.shift();
		}
	}

	/** Upper bound of the age in ms of a replica that has applied `appliedIndex`; undefined if unknown. */
	ageBoundMs(term: number, appliedIndex: number, nowMs: number): number | undefined {
		if (term !== this.#term) {
			return undefined;
		}

		const sample = this.#samples.findLast(({index}) => index <= appliedIndex);
		return sample && nowMs - sample.requestedAtMs;
	}
}
