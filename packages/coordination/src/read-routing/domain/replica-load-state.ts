import {type ReplicaCandidate} from '../definitions.js';

/** Time in ms after which a replica that was not eligible counts as recovered when it is eligible again. */
const recoveredAfterIneligibleMs = 500;
/** Minimum weight of a recovered replica: some reads must reach it so that it can be measured. */
const minRampWeight = 0.05;
/** Time constant with which the weight of a load report decays, in multiples of the replica's latency. */
const reportLifetimeLatencies = 4;
/** Minimum weight of an old load report, because a load that never changes may be that of a stuck replica. */
const minReportWeight = 0.25;
/** Lower bound of a latency in ms; shorter ones are below the measurement resolution. */
const minLatencyMs = 0.1;

/** Load, latency and recovery state of one replica as tracked by a selector. Times are monotonic, in ms. */
export class ReplicaLoadState {
	#ineligibleSinceMs: number | undefined;
	#rampStartMs: number;
	#reportedInFlight = -1;
	#reportedAtMs = 0;
	/** Reads that this selector has sent to the replica since its last load report. */
	#unreportedReads = 0;
	#unreportedAtMs = 0;
	#latencyMs = minLatencyMs;

	/** A replica that appears after the first selection (`isNew`) ramps up like a recovered one. */
	constructor(nowMs: number, isNew: boolean) {
		this.#rampStartMs = isNew ? nowMs : Number.NEGATIVE_INFINITY;
	}

	/**
	 * Records the current state of the replica. A single read for which it is not eligible, because of the
	 * position of the session, does not make it a recovered replica; only lasting ineligibility does.
	 */
	observe(candidate: ReplicaCandidate, nowMs: number): void {
		if (!candidate.isEligible) {
			this.#ineligibleSinceMs ??= nowMs;
			return;
		}

		if (this.#ineligibleSinceMs !== undefined && nowMs - this.#ineligibleSinceMs >= recoveredAfterIneligibleMs) {
			this.#rampStartMs = nowMs;
		}

		this.#ineligibleSinceMs = undefined;
		this.#latencyMs = Math.max(minLatencyMs, candidate.latencyMs);
		if (candidate.inFlight !== this.#reportedInFlight) {
			this.#reportedInFlight = candidate.inFlight;
			this.#reportedAtMs = nowMs;
			this.#unreportedReads = 0;
		}
	}

	onChosen(nowMs: number): void {
		this.#unreportedReads = this.#currentUnreportedReads(nowMs) + 1;
		this.#unreportedAtMs = nowMs;
	}

	/**
	 * Expected duration of one more read in ms, up to a constant factor. The older the reported load is, the less
	 * it counts, because the reported reads have ended and other owners have reacted to the same report.
	 */
	expectedCost(nowMs: number): number {
		const reportWeight = Math.max(minReportWeight, Math.exp((this.#reportedAtMs - nowMs) / (reportLifetimeLatencies * this.#latencyMs)));
		return (((this.#reportedInFlight + 1) ** reportWeight) + this.#currentUnreportedReads(nowMs)) * this.#latencyMs;
	}

	/** Current share of its normal reads that a recovered replica receives. */
	rampWeight(nowMs: number, rampMs: number): number {
		return Math.min(1, Math.max(minRampWeight, (nowMs - this.#rampStartMs) / rampMs));
	}

	/** Number of unreported reads, decayed with the latency, because they end even if no newer report arrives. */
	#currentUnreportedReads(nowMs: number): number {
		return this.#unreportedReads * Math.exp((this.#unreportedAtMs - nowMs) / this.#latencyMs);
	}
}
