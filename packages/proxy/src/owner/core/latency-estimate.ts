/** Weight of a new sample; the estimate follows a change within about ten reads. */
const smoothingFactor = 0.1;

/** Exponential moving average of the read latency of an instance, in ms. */
export class LatencyEstimate {
	#valueMs = 1;

	get valueMs(): number {
		return this.#valueMs;
	}

	add(observedMs: number): void {
		this.#valueMs += smoothingFactor * (observedMs - this.#valueMs);
	}
}
