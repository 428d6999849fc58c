import {type ReplicaCandidate, type ReplicaChoice, type ReplicaSelectorOptions} from '../definitions.js';
import {NearPreference} from '../domain/near-preference.js';
import {ReplicaLoadState} from '../domain/replica-load-state.js';

type TrackedCandidate = {candidate: ReplicaCandidate; loadState: ReplicaLoadState; isNear: boolean};

const defaultRampMs = 2000;
/** Groups have only a few members, so load states beyond this number belong to members that have left. */
const maxLoadStates = 64;

/**
 * Chooses the replica for a read: prefers the own failure domain (near) to the others (far), and uses the power
 * of two choices among the candidates. The cheaper of the two is chosen with a probability that depends on the
 * squares of the costs rather than always, so that several selectors with the same outdated load information
 * still spread their reads.
 */
export class ReplicaSelector {
	readonly #loadStates = new Map<string, ReplicaLoadState>();
	readonly #preference: NearPreference;
	readonly #rampMs: number;
	#hasSelected = false;

	constructor(private readonly options: ReplicaSelectorOptions) {
		this.#rampMs = options.rampMs ?? defaultRampMs;
		this.#preference = new NearPreference({
			leaveRatio: options.leaveNearRatio ?? 2, returnRatio: options.returnNearRatio ?? 1.3, rampMs: this.#rampMs,
		});
	}

	/** Returns `undefined` if no replica may serve the read, which then goes to the primary. */
	select(candidates: readonly ReplicaCandidate[], maxAgeMs = Infinity): ReplicaChoice | undefined {
		const nowMs = this.options.timers.nowMs();
		const tracked = candidates
			.map(candidate => this.#observe(candidate, nowMs))
			.filter(({candidate}) => candidate.isEligible && candidate.ageBoundMs <= maxAgeMs);
		this.#hasSelected = true;
		const chosen = this.#chooseOfTwo(this.#candidatesByDomain(tracked, nowMs), nowMs);
		chosen?.loadState.onChosen(nowMs);
		return chosen && {memberId: chosen.candidate.memberId, isNear: chosen.isNear};
	}

	#observe(candidate: ReplicaCandidate, nowMs: number): TrackedCandidate {
		const loadState = this.#loadStates.get(candidate.memberId) ?? this.#addLoadState(candidate.memberId, nowMs);
		loadState.observe(candidate, nowMs);
		return {candidate, loadState, isNear: candidate.failureDomain === this.options.failureDomain};
	}

	#addLoadState(memberId: string, nowMs: number): ReplicaLoadState {
		const loadState = new ReplicaLoadState(nowMs, this.#hasSelected);
		this.#loadStates.set(memberId, loadState);
		if (this.#loadStates.size > maxLoadStates) {
			const [oldest] = this.#loadStates.keys();
			this.#loadStates.delete(oldest!);
		}

		return loadState;
	}

	/** Near replicas, or all replicas for the share of reads that moves away from overloaded or slow near ones. */
	#candidatesByDomain(tracked: TrackedCandidate[], nowMs: number): TrackedCandidate[] {
		const near = tracked.filter(entry => entry.isNear);
		const far = tracked.filter(entry => !entry.isNear);
		if (near.length === 0 || far.length === 0) {
			return tracked;
		}

		// Divided by the ramp weight, so that a near replica that has just recovered does not attract all reads at once.
		const lowestCost = (group: TrackedCandidate[]) => Math.min(...group.map(({loadState}) => loadState.expectedCost(nowMs) / loadState.rampWeight(nowMs, this.#rampMs)));
		const farShare = this.#preference.update(lowestCost(near), lowestCost(far), nowMs);
		return this.options.random() < farShare ? tracked : near;
	}

	#chooseOfTwo(tracked: TrackedCandidate[], nowMs: number): TrackedCandidate | undefined {
		const first = this.#drawByWeight(tracked, nowMs);
		if (!first || tracked.length === 1) {
			return first;
		}

		const second = this.#drawByWeight(tracked.filter(entry => entry !== first), nowMs)!;
		const [firstCost, secondCost] = [first, second].map(({loadState}) => loadState.expectedCost(nowMs) ** 2);
		return this.options.random() * (firstCost! + secondCost!) < secondCost! ? first : second;
	}

	/** Draws a replica with a probability proportional to its ramp weight, so that a recovered one is drawn less often at first. */
	#drawByWeight(tracked: TrackedCandidate[], nowMs: number): TrackedCandidate | undefined {
		const weights = tracked.map(({loadState}) => loadState.rampWeight(nowMs, this.#rampMs));
		let remainingWeight = this.options.random() * weights.reduce((sum, weight) => sum + weight, 0);
		return tracked.find((_, index) => {
			remainingWeight -= weights[index]!;
			return remainingWeight < 0;
		}) ?? tracked.at(-1);
	}
}
