/** Handle of a scheduled call. */
export type TimerSubscription = {
	/** Stops all further calls. Safe to call more than once. */
	cancel(): void;
};

/**
 * Source of time for all parts. Parts subscribe instead of setting timers themselves, so that
 * tests drive time by hand and a shutdown can stop every timer in one place.
 */
export type TimerService = {
	/** Monotonic time in ms. Comparable only within this process. */
	nowMs(): number;
	/** Wall-clock time in ms since the Unix epoch. Never used to order events of two hosts. */
	wallClockMs(): number;
	/** Calls `callback` once after `delayMs`. */
	after(delayMs: number, callback: () => void): TimerSubscription;
	/** Calls `callback` every `intervalMs` until cancelled. */
	every(intervalMs: number, callback: () => void): TimerSubscription;
	/** Resolves after `delayMs`. */
	sleep(delayMs: number): Promise<void>;
};
