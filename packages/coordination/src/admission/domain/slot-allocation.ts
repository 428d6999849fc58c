import {type AdmissionLimits} from '../definitions.js';
import {ConcurrencyLimit, type RunObservation} from './concurrency-limit.js';

/** Running statements by pool. */
export type RunningCounts = {long: number; other: number};

/** Rounds the limits down to whole numbers with at least 1 slot; `longSlots` is at least 1 and below `slots` if there are two or more. */
export const normalizeLimits = ({slots, longSlots, queueLength}: AdmissionLimits): AdmissionLimits => {
	const wholeSlots = Math.max(1, Math.floor(slots));
	return {
		slots: wholeSlots,
		longSlots: Math.max(1, Math.min(Math.floor(longSlots), wholeSlots - 1)),
		queueLength: Math.max(0, Math.floor(queueLength)),
	};
};

/**
 * Divides the slots of an instance between long and other work. Long work never holds more than its slots,
 * so other work always has at least one; other work may use all slots while no long work waits.
 */
export class SlotAllocation {
	readonly #limit: ConcurrencyLimit;
	#limits: AdmissionLimits;
	#ramp: {startMs: number; rampMs: number} | undefined;

	constructor(limits: AdmissionLimits) {
		this.#limits = normalizeLimits(limits);
		this.#limit = new ConcurrencyLimit(this.#limits.slots);
	}

	get limits(): AdmissionLimits {
		return this.#limits;
	}

	setLimits(limits: AdmissionLimits): void {
		this.#limits = normalizeLimits(limits);
		this.#limit.setSlots(this.#limits.slots);
	}

	onRelease(run: RunObservation): void {
		this.#limit.onRelease(run);
	}

	/** Raises the limit from 1 to its full value over `rampMs`. */
	startRamp(nowMs: number, rampMs: number): void {
		this.#ramp = rampMs > 0 ? {startMs: nowMs, rampMs} : undefined;
	}

	/** Number of statements that may currently run at the instance. */
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

	/** Slots currently available to long work; at least 1, so that it always makes progress. */
	longSlotLimit(nowMs: number): number {
		const {slots, longSlots} = this.#limits;
		return Math.max(1, Math.min(longSlots, Math.round((longSlots * this.currentLimit(nowMs)) / slots)));
	}

	/** Slots guaranteed to other work while `longDemand` long statements run or wait. */
	slotsForOther(nowMs: number, longDemand: number): number {
		return Math.max(1, this.currentLimit(nowMs) - Math.min(longDemand, this.longSlotLimit(nowMs)));
	}

	canStartLong(running: RunningCounts, nowMs: number): boolean {
		return running.long < this.longSlotLimit(nowMs) && this.#hasFreeSlot(running, running.long, nowMs);
	}

	canStartOther(running: RunningCounts, nowMs: number): boolean {
		return this.#hasFreeSlot(running, running.other, nowMs);
	}

	/** An idle pool may exceed the limit by one slot, so that a low limit stops neither pool. */
	#hasFreeSlot(running: RunningCounts, runningInPool: number, nowMs: number): boolean {
		const total = running.long + running.other;
		return total < this.currentLimit(nowMs) || (runningInPool === 0 && total < this.#limits.slots);
	}
}
