import {type TimerService} from '../../timer/index.js';

/** Outcome of a call that may stay silent or reject; `undefined` stands for both. */
export const withTimeout = async <Value>(timers: TimerService, timeoutMs: number, call: PromiseLike<Value>): Promise<Value | undefined> =>
	new Promise(resolve => {
		const timeout = timers.after(timeoutMs, () => {
			resolve(undefined);
		});
		const settle = async () => {
			try {
				resolve(await call);
			} catch {
				resolve(undefined);
			}

			timeout.cancel();
		};

		void settle();
	});
