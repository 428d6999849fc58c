import {type TimerService} from '@dogwoodthread/coordination';
import {type ContinuityClock} from './continuity-clock.js';
import {type Member} from './member.js';

export type LeadershipProofOptions = {
	timers: TimerService;
	clock: ContinuityClock;
	/** Term of the primary, as far as known. */
	leaderTerm: () => number;
	/** The replica to ask next; undefined if all that answer are excluded. */
	nextReplica: (excluded: ReadonlySet<Member>) => Member | undefined;
	/** Asks a member for its status; what it says reaches `noteUnfenced`. */
	poll: (member: Member) => Promise<void>;
	/** Highest term that a promoter has announced for the group; undefined if the store does not answer. */
	announcedTerm: () => Promise<number | undefined>;
};

/**
 * How long a replica's word that it is not fenced counts, in ms. A promoter that cannot make the old primary
 * step down waits for this long after fencing, so that no host still trusts that primary when the next one
 * starts.
 */
export const leadershipEvidenceMs = 500;
/** Time after which another replica is asked, in ms. */
const replicaTimeoutMs = 150;
/** Pause after an attempt that proved nothing, in ms. */
const retryMs = 50;

/** Evidence that no promotion has taken effect: some replica was not fenced at a moment that is not long ago. */
export class LeadershipProof {
	/** When a replica that turned out not to be fenced was asked, in ms. */
	#unfencedAskedAtMs = Number.NEGATIVE_INFINITY;
	#unfencedEpoch = -1;
	#attempt: Promise<void> | undefined;

	constructor(private readonly options: LeadershipProofOptions) {}

	get isUnderWay(): boolean {
		return this.#attempt !== undefined;
	}

	noteUnfenced(askedAtMs: number): void {
		this.#unfencedAskedAtMs = Math.max(this.#unfencedAskedAtMs, askedAtMs);
		this.#unfencedEpoch = this.options.clock.epoch();
	}

	/** Whether no promotion can have taken effect before `atMs`. */
	holdsAt(atMs: number): boolean {
		return this.#unfencedEpoch === this.options.clock.epoch() && atMs - this.#unfencedAskedAtMs <= leadershipEvidenceMs;
	}

	/** One attempt to renew the evidence; all who wait share it. */
	async renew(): Promise<void> {
		this.#attempt ??= this.#ask();
		await this.#attempt;
	}

	/** Asks one replica after the other, then the store. Takes a while also if all answer at once. */
	async #ask(): Promise<void> {
		const {timers, nextReplica, poll} = this.options;
		const startedMs = timers.nowMs();
		const tried = new Set<Member>();
		let replica = nextReplica(tried);
		while (replica && !this.holdsAt(startedMs)) {
			tried.add(replica);

			await Promise.race([poll(replica), timers.sleep(replicaTimeoutMs)]);
			replica = nextReplica(tried);
		}

		if (!this.holdsAt(startedMs)) {
			await this.#readAnnouncement();
		}

		if (!this.holdsAt(startedMs)) {
			await timers.sleep(retryMs);
		}

		this.#attempt = undefined;
	}

	/**
	 * When no replica answers: a promoter announces its term at the store before it fences anyone, so the primary
	 * leads as long as none is announced.
	 */
	async #readAnnouncement(): Promise<void> {
		const {timers, clock, announcedTerm, leaderTerm} = this.options;
		const askedAtMs = timers.nowMs();
		const epoch = clock.epoch();
		const term = await announcedTerm();
		if (term !== undefined && term <= leaderTerm() && epoch === clock.epoch()) {
			this.noteUnfenced(askedAtMs);
		}
	}
}
