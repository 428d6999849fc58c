export type NearPreferenceOptions = {leaveRatio: number; returnRatio: number; rampMs: number};

/**
 * Controls the share of the reads that may go to far replicas. The share changes gradually, so that owners that
 * observe the same state do not all move their reads at the same time, and is constant between the two ratios
 * (hysteresis).
 */
export class NearPreference {
	#farShare = 0;
	#updatedAtMs: number | undefined;

	constructor(private readonly options: NearPreferenceOptions) {}

	/** Updates the share from the lowest costs of near and of far replicas, and returns it. */
	update(nearCost: number, farCost: number, nowMs: number): number {
		const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
		this.#updatedAtMs = nowMs;
		const step = Math.min(1, elapsedMs / this.options.rampMs);
		if (nearCost > farCost * this.options.leaveRatio) {
			this.#farShare = Math.min(1, this.#farShare + step);
		} else if (nearCost < farCost * this.options.returnRatio) {
			this.#farShare = Math.max(0, this.#farShare - step);
		}

		return this.#farShare;
	}
}
