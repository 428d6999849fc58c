import {type QueuedWork} from './queued-work.js';

type CallerQueue = {
	callerId: string;
	work: Set<QueuedWork>;
	/** Service time left to the caller in this round; negative if its last statement exceeded the quantum. */
	balanceMs: number;
};

/** Maximum cost of a statement in quanta. Bounds the number of rounds needed to find the next request. */
const maxCostQuanta = 8;

/**
 * Queue of one work class: round robin between callers, first in, first out within a caller. A caller that
 * overdraws its quantum of expected service time is skipped in later rounds until its balance is no longer
 * negative. Unlike deficit round robin, where a caller must accumulate the deficit before it is served, a
 * caller whose statements take slightly longer than the quantum does not miss its first round. Keeps an entry
 * only for callers with queued work.
 */
export class ClassQueue {
	/** In round-robin order; the first caller is served next. */
	readonly #callers = new Map<string, CallerQueue>();
	/** Callers by queue length, to find the longest queue without a scan. */
	readonly #callersByLength = new Map<number, Set<CallerQueue>>();
	#longestLength = 0;
	#length = 0;

	get length(): number {
		return this.#length;
	}

	/** Queue length of the caller with the most queued requests. */
	get longestCallerLength(): number {
		return this.#longestLength;
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
		this.#updateLengthIndex(caller, caller.work.size - 1);
	}

	remove(work: QueuedWork): boolean {
		const caller = this.#callers.get(work.request.callerId);
		if (!caller?.work.delete(work)) {
			return false;
		}

		this.#length -= 1;
		this.#updateLengthIndex(caller, caller.work.size + 1);
		if (caller.work.size === 0) {
			this.#callers.delete(caller.callerId);
		}

		return true;
	}

	/** Removes and returns the next request. `quantumMs` is the service time credited to a caller in each round. */
	takeNext(quantumMs: number): QueuedWork | undefined {
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
				this.#moveToBackIfOverdrawn(caller);
				this.remove(work);
				return work;
			}

			this.#moveToBackIfOverdrawn(caller);
		}
	}

	/** Removes and returns the newest request of the caller with the most queued requests. */
	takeFromLongestCaller(): QueuedWork | undefined {
		const [caller] = this.#callersByLength.get(this.#longestLength) ?? [];
		const work = caller && [...caller.work].at(-1);
		if (work) {
			this.remove(work);
		}

		return work;
	}

	values(): QueuedWork[] {
		return [...this.#callers.values()].flatMap(({work}) => [...work]);
	}

	#moveToBackIfOverdrawn(caller: CallerQueue): void {
		if (caller.balanceMs < 0) {
			this.#callers.delete(caller.callerId);
			this.#callers.set(caller.callerId, caller);
		}
	}

	#updateLengthIndex(caller: CallerQueue, previousLength: number): void {
		const newLength = caller.work.size;
		const previousGroup = this.#callersByLength.get(previousLength);
		previousGroup?.delete(caller);
		if (previousGroup?.size === 0) {
			this.#callersByLength.delete(previousLength);
		}

		if (newLength > 0) {
			const newGroup = this.#callersByLength.get(newLength) ?? new Set();
			newGroup.add(caller);
			this.#callersByLength.set(newLength, newGroup);
		}

		this.#longestLength = Math.max(this.#longestLength, newLength);
		if (this.#longestLength > 0 && !this.#callersByLength.has(this.#longestLength)) {
			this.#longestLength -= 1;
		}
	}
}
