import {type MemberStatus} from '../definitions.js';
import {majorityOf} from './log-position.js';

/**
 * - `confirmed`: a majority has received the entry in the requested term.
 * - `superseded`: the group has moved to a later term, so the entry may be lost.
 * - `timed-out`: the entry was not confirmed by the deadline.
 */
export type ConfirmationResult = 'confirmed' | 'superseded' | 'timed-out';

type Waiter = {
	term: number;
	index: number;
	sinceMs: number;
	settle: (result: ConfirmationResult) => void;
};

/**
 * Tracks which log entries a majority of the group has received.
 *
 * A member counts only while it is fenced at exactly the tracked term, has verified its log against the
 * primary of that term, and its last entry belongs to that term. Entries of older terms are therefore
 * confirmed only together with an entry of the current term.
 */
export class ConfirmationTracker {
	readonly #statuses = new Map<string, MemberStatus>();
	#waiters: Waiter[] = [];
	#term = 0;
	#confirmedIndex = 0;
	#oldestUnconfirmed: {index: number; sinceMs: number} | undefined;

	constructor(private readonly groupSize: number) {}

	get term(): number {
		return this.#term;
	}

	/** Highest confirmed index of the current term; 0 if none. */
	get confirmedIndex(): number {
		return this.#confirmedIndex;
	}

	/**
	 * Time since which an entry of the current term with a confirmation request has been unconfirmed; undefined
	 * if there is none. Includes entries whose wait has timed out, because they are still unconfirmed.
	 */
	get unconfirmedSinceMs(): number | undefined {
		return this.#oldestUnconfirmed?.sinceMs;
	}

	/** Moves to a later established term. Waits for older terms end as `superseded`; others continue. */
	setTerm(term: number): void {
		if (term <= this.#term) {
			return;
		}

		this.#term = term;
		this.#confirmedIndex = 0;
		this.#oldestUnconfirmed = undefined;
		const superseded = this.#waiters.filter(waiter => waiter.term < term);
		this.#waiters = this.#waiters.filter(waiter => waiter.term >= term);
		for (const waiter of superseded) {
			waiter.settle('superseded');
		}

		this.#updateConfirmedIndex();
	}

	report(status: MemberStatus): void {
		this.#statuses.set(status.memberId, status);
		this.#updateConfirmedIndex();
	}

	/** Removes a member whose status is no longer known. Entries that it helped to confirm stay confirmed. */
	removeMember(memberId: string): void {
		this.#statuses.delete(memberId);
	}

	isConfirmed(term: number, index: number): boolean {
		return term === this.#term && index <= this.#confirmedIndex;
	}

	/**
	 * Waits until `index` is confirmed in `term`.
	 *
	 * @param onTimeout - schedules `expire` at the caller's deadline; called at most once, returns a function that cancels it.
	 */
	async waitForConfirmation({term, index, nowMs, onTimeout}: {term: number; index: number; nowMs: number; onTimeout: (expire: () => void) => () => void}): Promise<ConfirmationResult> {
		if (this.isConfirmed(term, index)) {
			return 'confirmed';
		}

		if (term < this.#term) {
			return 'superseded';
		}

		if (term === this.#term) {
			this.#oldestUnconfirmed ??= {index, sinceMs: nowMs};
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

	#updateConfirmedIndex(): void {
		const receivedIndexes = [...this.#statuses.values()]
			.filter(({fencedTerm, verifiedTerm, received}) =>
				fencedTerm === this.#term && verifiedTerm === this.#term && received.term === this.#term)
			.map(({received}) => received.index)
			.sort((a, b) => b - a);
		const majorityIndex = receivedIndexes[majorityOf(this.groupSize) - 1] ?? 0;
		if (majorityIndex <= this.#confirmedIndex) {
			return;
		}

		this.#confirmedIndex = majorityIndex;
		// Waits for a later term that this process does not know yet stay: their entries are not the ones confirmed here.
		const confirmedWaiters = this.#waiters.filter(({term, index}) => this.isConfirmed(term, index));
		this.#waiters = this.#waiters.filter(waiter => !confirmedWaiters.includes(waiter));
		if (this.#oldestUnconfirmed && this.#oldestUnconfirmed.index <= majorityIndex) {
			this.#oldestUnconfirmed = this.#waiters.find(waiter => waiter.term === this.#term);
		}

		for (const waiter of confirmedWaiters) {
			waiter.settle('confirmed');
		}
	}
}
