import {type TimerService} from '../../timer/index.js';

/** Result of the call, or `undefined` if it rejects or does not settle within the timeout. */
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
