/** Weight of a new observation; the estimate follows a change within about ten reads. */
const weight = 0.1;

/** Moving estimate of the time that a read takes at an instance, in ms. */
export class LatencyEstimate {
	#valueMs = 1;

	get valueMs(): number {
		return this.#valueMs;
	}

	add(observedMs: number): void {
		this.#valueMs += weight * (observedMs - this.#valueMs);
	}
}
