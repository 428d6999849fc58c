import {type ReplicaCandidate} from '../definitions.js';

/** A replica that was not eligible for this long counts as recovered when it is eligible again, in ms. */
const recoveryGapMs = 500;
/** Smallest weight of a recovered replica; some reads must reach it to measure it. */
const minWeight = 0.05;
/** A report of the load loses its meaning within this many latencies of the replica. */
const freshLatencies = 4;
/** Weight that an old report keeps: a load that never changes may be that of a replica that is stuck. */
const minFreshness = 0.25;
/** Shorter latencies are below the resolution of the measurement. */
const minLatencyMs = 0.1;

/** What a selector remembers of one replica. Times are monotonic, in ms. */
export class ReplicaRecord {
	#ineligibleSinceMs: number | undefined;
	#rampStartMs: number;
	#reportedInFlight = -1;
	#reportedAtMs = 0;
	/** Own choices that the reported load does not show yet. */
	#unreported = 0;
	#unreportedAtMs = 0;
	#latencyMs = minLatencyMs;

	/** A replica that is new to a running selector is treated as recovered. */
	constructor(nowMs: number, isNew: boolean) {
		this.#rampStartMs = isNew ? nowMs : Number.NEGATIVE_INFINITY;
	}

	/**
	 * Takes in what is known at present. One read that finds the replica not eligible, because of its
	 * session's position, does not make it a recovered one; only a lasting state does.
	 */
	observe(candidate: ReplicaCandidate, nowMs: number): void {
		if (!candidate.eligible) {
			this.#ineligibleSinceMs ??= nowMs;
			return;
		}

		if (this.#ineligibleSinceMs !== undefined && nowMs - this.#ineligibleSinceMs >= recoveryGapMs) {
			this.#rampStartMs = nowMs;
		}

		this.#ineligibleSinceMs = undefined;
		this.#latencyMs = Math.max(minLatencyMs, candidate.latencyMs);
		if (candidate.inFlight !== this.#reportedInFlight) {
			this.#reportedInFlight = candidate.inFlight;
			this.#reportedAtMs = nowMs;
			this.#unreported = 0;
		}
	}

	onChosen(nowMs: number): void {
		this.#unreported = this.#unreportedNow(nowMs) + 1;
		this.#unreportedAtMs = nowMs;
	}

	/**
	 * Expected time of one more read in ms, up to a constant factor. The reported load counts less the
	 * older it is, since the reads behind it have ended and other owners have acted on the same report.
	 */
	cost(nowMs: number): number {
		const freshness = Math.max(minFreshness, Math.exp((this.#reportedAtMs - nowMs) / (freshLatencies * this.#latencyMs)));
		return (((this.#reportedInFlight + 1) ** freshness) + this.#unreportedNow(nowMs)) * this.#latencyMs;
	}

	/** Share of its usual reads that a recovered replica takes at present. */
	weight(nowMs: number, rampMs: number): number {
		return Math.min(1, Math.max(minWeight, (nowMs - this.#rampStartMs) / rampMs));
	}

	/** Reads that were sent there end after about its latency, also when no newer report says so. */
	#unreportedNow(nowMs: number): number {
		return this.#unreported * Math.exp((this.#unreportedAtMs - nowMs) / this.#latencyMs);
	}
}
