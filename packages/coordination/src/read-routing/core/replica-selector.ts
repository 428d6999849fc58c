import {type ReplicaCandidate, type ReplicaChoice, type ReplicaSelectorOptions} from '../definitions.js';
import {NearPreference} from '../domain/near-preference.js';
import {ReplicaRecord} from '../domain/replica-record.js';

type Option = {candidate: ReplicaCandidate; record: ReplicaRecord; near: boolean};

const defaultRampMs = 2000;
/** Groups have a few members; more records than this are of members that left. */
const maxRecords = 64;

/**
 * Chooses the replica for a read: near failure domain first, power of two choices within it. Of the
 * two, the cheaper one is only the likelier one, by the square of the costs: several choosers with the
 * same old load information then still spread.
 */
export class ReplicaSelector {
	readonly #records = new Map<string, ReplicaRecord>();
	readonly #preference: NearPreference;
	readonly #rampMs: number;
	#started = false;

	constructor(private readonly options: ReplicaSelectorOptions) {
		this.#rampMs = options.rampMs ?? defaultRampMs;
		this.#preference = new NearPreference({
			leaveRatio: options.leaveNearRatio ?? 2, returnRatio: options.returnNearRatio ?? 1.3, rampMs: this.#rampMs,
		});
	}

	/** Gives `undefined` if no replica may serve the read, which then goes to the primary. */
	select(candidates: readonly ReplicaCandidate[], maxAgeMs = Infinity): ReplicaChoice | undefined {
		const nowMs = this.options.timers.nowMs();
		const options = candidates
			.map(candidate => this.#observe(candidate, nowMs))
			.filter(({candidate}) => candidate.eligible && candidate.ageBoundMs <= maxAgeMs);
		this.#started = true;
		const chosen = this.#chooseOne(this.#domainOptions(options, nowMs), nowMs);
		chosen?.record.onChosen(nowMs);
		return chosen && {memberId: chosen.candidate.memberId, near: chosen.near};
	}

	#observe(candidate: ReplicaCandidate, nowMs: number): Option {
		const record = this.#records.get(candidate.memberId) ?? this.#addRecord(candidate.memberId, nowMs);
		record.observe(candidate, nowMs);
		return {candidate, record, near: candidate.failureDomain === this.options.failureDomain};
	}

	#addRecord(memberId: string, nowMs: number): ReplicaRecord {
		const record = new ReplicaRecord(nowMs, this.#started);
		this.#records.set(memberId, record);
		if (this.#records.size > maxRecords) {
			const [oldest] = this.#records.keys();
			this.#records.delete(oldest!);
		}

		return record;
	}

	/** Near replicas, or all of them for the share of reads that near ones are too loaded or slow for. */
	#domainOptions(options: Option[], nowMs: number): Option[] {
		const near = options.filter(option => option.near);
		const far = options.filter(option => !option.near);
		if (near.length === 0 || far.length === 0) {
			return options;
		}

		// Weighted: a near replica that has just recovered does not pull all reads back at once.
		const lowest = (group: Option[]) => Math.min(...group.map(({record}) => record.cost(nowMs) / record.weight(nowMs, this.#rampMs)));
		const farShare = this.#preference.update(lowest(near), lowest(far), nowMs);
		return this.options.random() < farShare ? options : near;
	}

	#chooseOne(options: Option[], nowMs: number): Option | undefined {
		const first = this.#draw(options, nowMs);
		if (!first || options.length === 1) {
			return first;
		}

		const second = this.#draw(options.filter(option => option !== first), nowMs)!;
		const [firstCost, secondCost] = [first, second].map(({record}) => record.cost(nowMs) ** 2);
		return this.options.random() * (firstCost! + secondCost!) < secondCost! ? first : second;
	}

	/** Draws by weight, so that a recovered replica is compared with others less often at first. */
	#draw(options: Option[], nowMs: number): Option | undefined {
		const weights = options.map(({record}) => record.weight(nowMs, this.#rampMs));
		let left = this.options.random() * weights.reduce((sum, weight) => sum + weight, 0);
		return options.find((_, index) => {
			left -= weights[index]!;
			return left < 0;
		}) ?? options.at(-1);
	}
}
