import {type TimerService, type TimerSubscription} from '../../timer/index.js';

/** Longest delay that Node.js timers take, in ms; a longer one would fire at once. */
const maxDelayMs = 2_147_483_647;

/** Calls `drop` at `atMs` of the timer service; never if that is further away than timers reach. */
export const expireAt = (timers: TimerService, atMs: number, drop: () => void): TimerSubscription | undefined => {
	const delayMs = atMs - timers.nowMs();
	return delayMs < maxDelayMs ? timers.after(Math.max(0, delayMs), drop) : undefined;
};
