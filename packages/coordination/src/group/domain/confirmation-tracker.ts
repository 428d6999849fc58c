import {type MemberStatus} from '../definitions.js';
import {majorityOf} from './log-position.js';

/**
 * - `confirmed`: a majority has the entry, in the term in which it was asked for.
 * - `superseded`: the group has moved to another term, so the entry may be lost.
 * - `timed-out`: not confirmed by the deadline.
 */
export type ConfirmationResult = 'confirmed' | 'superseded' | 'timed-out';

type Waiter = {
	term: number;
	index: number;
	sinceMs: number;
	settle: (result: ConfirmationResult) => void;
};

/**
 * Follows which log entries a majority of the group has received.
 *
 * A member counts only while it is fenced at exactly the tracked term, has verified its log against
 * that term's primary, and its last entry is of that term. Entries of older terms are thus confirmed
 * only through an entry of the current term.
 */
export class ConfirmationTracker {
	readonly #statuses = new Map<string, MemberStatus>();
	#waiters: Waiter[] = [];
	#term = 0;
	#confirmedIndex = 0;
	#behind: {index: number; sinceMs: number} | undefined;

	constructor(private readonly groupSize: number) {}

	get term(): number {
		return this.#term;
	}

	/** Highest confirmed index of the current term; 0 if none. */
	get confirmedIndex(): number {
		return this.#confirmedIndex;
	}

	/**
	 * Since when the confirmation has been behind an entry that somebody waited for; undefined if it is not.
	 * A wait that timed out still counts, since the entry is as unconfirmed as before.
	 */
	get behindSinceMs(): number | undefined {
		return this.#behind?.sinceMs;
	}

	/** Moves to a later established term; what waits for an older term is superseded, for a later one goes on waiting. */
	setTerm(term: number): void {
		if (term <= this.#term) {
			return;
		}

		this.#term = term;
		this.#confirmedIndex = 0;
		this.#behind = undefined;
		const superseded = this.#waiters.filter(waiter => waiter.term < term);
		this.#waiters = this.#waiters.filter(waiter => waiter.term >= term);
		for (const waiter of superseded) {
			waiter.settle('superseded');
		}

		this.#advance();
	}

	report(status: MemberStatus): void {
		this.#statuses.set(status.memberId, status);
		this.#advance();
	}

	/** Forgets a member whose status is no longer known. What it confirmed stays confirmed. */
	forget(memberId: string): void {
		this.#statuses.delete(memberId);
	}

	isConfirmed(term: number, index: number): boolean {
		return term === this.#term && index <= this.#confirmedIndex;
	}

	/**
	 * Waits until `index` is confirmed in `term`.
	 *
	 * @param onTimeout - registers the caller's deadline; called once, returns how to cancel it.
	 */
	async waitFor({term, index, nowMs, onTimeout}: {term: number; index: number; nowMs: number; onTimeout: (expire: () => void) => () => void}): Promise<ConfirmationResult> {
		if (this.isConfirmed(term, index)) {
			return 'confirmed';
		}

		if (term < this.#term) {
			return 'superseded';
		}

		if (term === this.#term) {
			this.#behind ??= {index, sinceMs: nowMs};
		}

		return new Promise(resolve => {
			const cancelTimeout = onTimeout(() => {
				this.#waiters = this.#waiters.filter(other => other !== waiter);
				resolve('timed-out');
			});
			const waiter: Waiter = {
				term,
				index,
				sinceMs: nowMs,
				settle(result) {
					cancelTimeout();
					resolve(result);
				},
			};
			this.#waiters.push(waiter);
		});
	}

	#advance(): void {
		const indexes = [...this.#statuses.values()]
			.filter(({fencedTerm, verifiedTerm, received}) =>
				fencedTerm === this.#term && verifiedTerm === this.#term && received.term === this.#term)
			.map(({received}) => received.index)
			.sort((a, b) => b - a);
		const majorityIndex = indexes[majorityOf(this.groupSize) - 1] ?? 0;
		if (majorityIndex <= this.#confirmedIndex) {
			return;
		}

		this.#confirmedIndex = majorityIndex;
		// An entry of a term that this process does not know yet is not the one that the majority reported here.
		const reached = this.#waiters.filter(({term, index}) => this.isConfirmed(term, index));
		this.#waiters = this.#waiters.filter(waiter => !reached.includes(waiter));
		if (this.#behind && this.#behind.index <= majorityIndex) {
			this.#behind = this.#waiters.find(waiter => waiter.term === this.#term);
		}

		for (const waiter of reached) {
			waiter.settle('confirmed');
		}
	}
}
