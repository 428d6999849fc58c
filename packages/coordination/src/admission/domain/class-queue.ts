import {type QueuedWork} from './queued-work.js';

type CallerQueue = {
	callerId: string;
	work: Set<QueuedWork>;
	/** Service time that the caller may still use in this round; negative after a long statement. */
	balanceMs: number;
};

/** A statement counts for at most this many quanta, which bounds the rounds that one choice takes. */
const maxCostQuanta = 8;

/**
 * Queue of one work class: round robin between callers, in which a caller that overdraws its quantum
 * of expected service time sits out until it has made up for it; first in, first out for each caller.
 * Unlike with a deficit that is saved up first, a caller whose statements take a little longer than the
 * quantum does not miss its first round. Holds an entry only for callers with queued work.
 */
export class ClassQueue {
	/** In the order of the round; the first caller is served next. */
	readonly #callers = new Map<string, CallerQueue>();
	/** Callers by the length of their queue, to find the longest one without a scan. */
	readonly #callersByLength = new Map<number, Set<CallerQueue>>();
	#longest = 0;
	#length = 0;

	get length(): number {
		return this.#length;
	}

	/** Length of the longest queue of a caller. */
	get longestCallerLength(): number {
		return this.#longest;
	}

	get callerCount(): number {
		return this.#callers.size;
	}

	callerLength(callerId: string): number {
		return this.#callers.get(callerId)?.work.size ?? 0;
	}

	add(work: QueuedWork): void {
		let caller = this.#callers.get(work.request.callerId);
		if (!caller) {
			caller = {callerId: work.request.callerId, work: new Set(), balanceMs: 0};
			this.#callers.set(caller.callerId, caller);
		}

		caller.work.add(work);
		this.#length += 1;
		this.#moveLength(caller, caller.work.size - 1);
	}

	remove(work: QueuedWork): boolean {
		const caller = this.#callers.get(work.request.callerId);
		if (!caller?.work.delete(work)) {
			return false;
		}

		this.#length -= 1;
		this.#moveLength(caller, caller.work.size + 1);
		if (caller.work.size === 0) {
			this.#callers.delete(caller.callerId);
		}

		return true;
	}

	/** Takes the next request. `quantumMs` is what a caller gets in each round. */
	next(quantumMs: number): QueuedWork | undefined {
		const quantum = Math.max(0.001, quantumMs);
		for (;;) {
			const [caller] = this.#callers.values();
			const [work] = caller?.work ?? [];
			if (!caller || !work) {
				return undefined;
			}

			caller.balanceMs += caller.balanceMs < 0 ? quantum : 0;
			if (caller.balanceMs >= 0) {
				caller.balanceMs -= Math.min(Math.max(work.estimateMs, quantum / 4), quantum * maxCostQuanta);
				this.#endTurn(caller);
				this.remove(work);
				return work;
			}

			this.#endTurn(caller);
		}
	}

	/** Takes the newest request of the caller with the most queued requests. */
	takeFromLongest(): QueuedWork | undefined {
		const [caller] = this.#callersByLength.get(this.#longest) ?? [];
		const work = caller && [...caller.work].at(-1);
		if (work) {
			this.remove(work);
		}

		return work;
	}

	values(): QueuedWork[] {
		return [...this.#callers.values()].flatMap(({work}) => [...work]);
	}

	#endTurn(caller: CallerQueue): void {
		if (caller.balanceMs < 0) {
			this.#callers.delete(caller.callerId);
			this.#callers.set(caller.callerId, caller);
		}
	}

	#moveLength(caller: CallerQueue, before: number): void {
		const after = caller.work.size;
		const left = this.#callersByLength.get(before);
		left?.delete(caller);
		if (left?.size === 0) {
			this.#callersByLength.delete(before);
		}

		if (after > 0) {
			const joined = this.#callersByLength.get(after) ?? new Set();
			joined.add(caller);
			this.#callersByLength.set(after, joined);
		}

		this.#longest = Math.max(this.#longest, after);
		if (this.#longest > 0 && !this.#callersByLength.has(this.#longest)) {
			this.#longest -= 1;
		}
	}
}
