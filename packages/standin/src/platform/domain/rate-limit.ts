/** Token bucket that holds one second's worth of calls. */
export class RateLimit {
	#tokens: number;
	#filledAtMs: number;

	constructor(private readonly perSecond: number, nowMs: number) {
		this.#tokens = perSecond;
		this.#filledAtMs = nowMs;
	}

	/** Whether a call may pass now. */
	take(nowMs: number): boolean {
		const refill = (nowMs - this.#filledAtMs) * this.perSecond / 1000;
		this.#tokens = Math.min(this.perSecond, this.#tokens + refill);
		this.#filledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
