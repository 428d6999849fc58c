export type NearPreferenceOptions = {leaveRatio: number; returnRatio: number; rampMs: number};

/**
 * Share of the reads that may go to far replicas. Moves gradually, so that owners which see the same
 * state do not all move their reads at the same moment, and stays as it is between the two ratios.
 */
export class NearPreference {
	#farShare = 0;
	#updatedMs: number | undefined;

	constructor(private readonly options: NearPreferenceOptions) {}

	/** Takes in the cheapest near and the cheapest far replica and gives the share for far ones. */
	update(nearCost: number, farCost: number, nowMs: number): number {
		const elapsedMs = nowMs - (this.#updatedMs ?? nowMs);
		this.#updatedMs = nowMs;
		const step = Math.min(1, elapsedMs / this.options.rampMs);
		if (nearCost > farCost * this.options.leaveRatio) {
			this.#farShare = Math.min(1, this.#farShare + step);
		} else if (nearCost < farCost * this.options.returnRatio) {
			this.#farShare = Math.max(0, this.#farShare - step);
		}

		return this.#farShare;
	}
}
