import {type AdmissionLimits} from '../definitions.js';
import {ConcurrencyLimit, type LimitSignal} from './concurrency-limit.js';

/** Running statements by pool. */
export type RunningCounts = {long: number; other: number};

/** Limits with `slots` at least 1 and, where there are two slots or more, `longSlots` below `slots`. */
export const boundedLimits = ({slots, longSlots, queueLength}: AdmissionLimits): AdmissionLimits => {
	const wholeSlots = Math.max(1, Math.floor(slots));
	return {
		slots: wholeSlots,
		longSlots: Math.max(1, Math.min(Math.floor(longSlots), wholeSlots - 1)),
		queueLength: Math.max(0, Math.floor(queueLength)),
	};
};

/**
 * Shares the slots of an instance between long and other work. Long work never holds more than its
 * slots, so other work always has one; other work may use all slots while no long work waits.
 */
export class SlotAllocation {
	readonly #limit: ConcurrencyLimit;
	#limits: AdmissionLimits;
	#ramp: {startMs: number; rampMs: number} | undefined;

	constructor(limits: AdmissionLimits) {
		this.#limits = boundedLimits(limits);
		this.#limit = new ConcurrencyLimit(this.#limits.slots);
	}

	get limits(): AdmissionLimits {
		return this.#limits;
	}

	setLimits(limits: AdmissionLimits): void {
		this.#limits = boundedLimits(limits);
		this.#limit.setSlots(this.#limits.slots);
	}

	onRelease(signal: LimitSignal): void {
		this.#limit.onRelease(signal);
	}

	/** Lets the limit grow from 1 to its full size over `rampMs`. */
	startRamp(nowMs: number, rampMs: number): void {
		this.#ramp = rampMs > 0 ? {startMs: nowMs, rampMs} : undefined;
	}

	/** Statements that the instance may be given at present. */
	currentLimit(nowMs: number): number {
		if (!this.#ramp) {
			return this.#limit.current;
		}

		const share = (nowMs - this.#ramp.startMs) / this.#ramp.rampMs;
		if (share >= 1) {
			this.#ramp = undefined;
			return this.#limit.current;
		}

		return Math.min(this.#limit.current, 1 + Math.floor(share * (this.#limits.slots - 1)));
	}

	/** Slots that long work may hold at present; at least 1, so that it always makes progress. */
	longCap(nowMs: number): number {
		const {slots, longSlots} = this.#limits;
		return Math.max(1, Math.min(longSlots, Math.round((longSlots * this.currentLimit(nowMs)) / slots)));
	}

	/** Slots that other work can count on while `longWanted` long statements run or wait. */
	otherSlots(nowMs: number, longWanted: number): number {
		return Math.max(1, this.currentLimit(nowMs) - Math.min(longWanted, this.longCap(nowMs)));
	}

	canStartLong(running: RunningCounts, nowMs: number): boolean {
		return running.long < this.longCap(nowMs) && this.#hasSlot(running, running.long, nowMs);
	}

	canStartOther(running: RunningCounts, nowMs: number): boolean {
		return this.#hasSlot(running, running.other, nowMs);
	}

	/** A pool that runs nothing may use a slot over the limit, so that a low limit stops neither pool. */
	#hasSlot(running: RunningCounts, inPool: number, nowMs: number): boolean {
		const total = running.long + running.other;
		return total < this.currentLimit(nowMs) || (inPool === 0 && total < this.#limits.slots);
	}
}
