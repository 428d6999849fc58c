/** Handle of a scheduled call. */
export type TimerSubscription = {
	/** Prevents all further calls. Idempotent. */
	cancel(): void;
};

/**
 * Clock and timers of all components. Components don't set timers themselves, so that tests can control time and a
 * shutdown can cancel every timer in one place.
 */
export type TimerService = {
	/** Monotonic time in ms. Comparable only within this process. */
	nowMs(): number;
	/** Wall-clock time in ms since the Unix epoch. Must not be used to order events of different hosts. */
	wallClockMs(): number;
	/** Calls `callback` once after `delayMs`. */
	after(delayMs: number, callback: () => void): TimerSubscription;
	/** Calls `callback` every `intervalMs` until cancelled. */
	every(intervalMs: number, callback: () => void): TimerSubscription;
	/** Resolves after `delayMs`. */
	sleep(delayMs: number): Promise<void>;
};
