import {type TimerService, type TimerSubscription} from '../../timer/index.js';

/** Maximum delay of Node.js timers, in ms; a timer with a longer delay fires immediately. */
const maxDelayMs = 2_147_483_647;

/** Calls `onExpire` at `atMs`, a time of the timer service; never if that exceeds the maximum timer delay. */
export const expireAt = (timers: TimerService, atMs: number, onExpire: () => void): TimerSubscription | undefined => {
	const delayMs = atMs - timers.nowMs();
	return delayMs < maxDelayMs ? timers.after(Math.max(0, delayMs), onExpire) : undefined;
};
