import {type TimerService} from '@dogwoodthread/coordination';
import {type EndpointStatus} from '../endpoint/index.js';
import {type ClockDiscontinuityDetector} from './clock-discontinuity-detector.js';
import {type Member} from './member.js';

export type LeadershipProofOptions = {
	timers: TimerService;
	clock: ClockDiscontinuityDetector;
	/** Returns the highest term in which this host has seen a primary. */
	leaderTerm: () => number;
	/** Returns the replica to poll next; undefined if all replicas that answer are excluded. */
	nextReplica: (excluded: ReadonlySet<Member>) => Member | undefined;
	/** Requests the status of a member; the caller passes the result to `recordReplica` if a promoter must fence the member. */
	poll: (member: Member) => Promise<void>;
	/** Reads the highest term that a promoter has announced for the group; undefined if the store does not answer. */
	readAnnouncedTerm: () => Promise<number | undefined>;
};

/**
 * How long a replica's status that shows no fence stays valid as evidence, in ms. A promoter that cannot make the old
 * primary step down waits for this long after fencing, so that no host still trusts the old primary when the next one
 * starts.
 */
export const leadershipEvidenceTtlMs = 500;
/** Time without an answer after which the next replica is polled, in ms. */
const replicaTimeoutMs = 150;
/** Delay after an attempt without proof, in ms. */
const retryDelayMs = 50;

/** Evidence that no promotion has taken effect: at least one replica that a promoter must fence was recently not fenced. */
export class LeadershipProof {
	/** Latest time at which a request was sent whose answer shows that some replica was not fenced, in monotonic ms. */
	#unfencedRequestedAtMs = Number.NEGATIVE_INFINITY;
	#unfencedEpoch = -1;
	/** Highest term for which a replica was seen fenced since the store last showed that no later term is announced. */
	#fencedTermSeen = 0;
	#attempt: Promise<void> | undefined;

	constructor(private readonly options: LeadershipProofOptions) {}

	get isInProgress(): boolean {
		return this.#attempt !== undefined;
	}

	/**
	 * Records the status of a replica that a promoter must fence. Once one was seen fenced for a later term, that term may
	 * have started, and a replica that is not fenced proves nothing: its fence may have been lifted since.
	 */
	recordReplica({term, fencedTerm}: EndpointStatus, requestedAtMs: number): void {
		this.#fencedTermSeen = Math.max(this.#fencedTermSeen, fencedTerm);
		const leaderTerm = this.options.leaderTerm();
		if (term <= leaderTerm && this.#fencedTermSeen <= leaderTerm) {
			this.#recordUnfenced(requestedAtMs);
		}
	}

	/** Whether no promotion can have taken effect before `atMs`. */
	isValidAt(atMs: number): boolean {
		return this.#unfencedEpoch === this.options.clock.epoch() && atMs - this.#unfencedRequestedAtMs <= leadershipEvidenceTtlMs;
	}

	/** Makes one attempt to renew the evidence, or joins the attempt in progress. */
	async renew(): Promise<void> {
		this.#attempt ??= this.#collectEvidence();
		await this.#attempt;
	}

	#recordUnfenced(requestedAtMs: number): void {
		this.#unfencedRequestedAtMs = Math.max(this.#unfencedRequestedAtMs, requestedAtMs);
		this.#unfencedEpoch = this.options.clock.epoch();
	}

	/** Polls one replica after the other, then reads the store. Without proof it also waits, which limits the rate of attempts. */
	async #collectEvidence(): Promise<void> {
		const {timers, nextReplica, poll} = this.options;
		const startedMs = timers.nowMs();
		const tried = new Set<Member>();
		let replica = nextReplica(tried);
		while (replica && !this.isValidAt(startedMs)) {
			tried.add(replica);

			await Promise.race([poll(replica), timers.sleep(replicaTimeoutMs)]);
			replica = nextReplica(tried);
		}

		if (!this.isValidAt(startedMs)) {
			await this.#checkAnnouncedTerm();
		}

		if (!this.isValidAt(startedMs)) {
			await timers.sleep(retryDelayMs);
		}

		this.#attempt = undefined;
	}

	/**
	 * Used when the replicas give no proof: a promoter announces its term at the store before it fences any member, so
	 * the primary still leads while no higher term is announced.
	 */
	async #checkAnnouncedTerm(): Promise<void> {
		const {timers, clock, readAnnouncedTerm, leaderTerm} = this.options;
		const requestedAtMs = timers.nowMs();
		const epoch = clock.epoch();
		const term = await readAnnouncedTerm();
		if (term !== undefined && term <= leaderTerm() && epoch === clock.epoch()) {
			this.#fencedTermSeen = 0;
			this.#recordUnfenced(requestedAtMs);
		}
	}
}
