import {type TimerService} from '@dogwoodthread/coordination';
import {type HistoryRecorder} from '../../history/index.js';
import {
	type CallAnswer, type CallerClient, type CallRequest, type ProxyDirectory, type SessionStep,
} from '../definitions.js';
import {type SeededRandom} from '../domain/seeded-random.js';

/** Longest wait before a repeat; a proxy may state a long retry-after while a group has no primary. */
const maxRetryWaitMs = 1000;

/** Wait before a repeat when the answer states none. */
const defaultRetryWaitMs = 50;

const noProxyWaitMs = 50;

export type RoamingSessionOptions = {
	sessionId: string;
	database: string;
	client: CallerClient;
	directory: ProxyDirectory;
	recorder: HistoryRecorder;
	timers: TimerService;
	random: SeededRandom;
	/** Deadline of one attempt. */
	timeoutMs: number;
	/** Time after which a step is abandoned, repeats included. */
	stepTimeoutMs: number;
	/** Whether a refused step comes back after the stated time; if not, the refusal is final. */
	repeatsRefused: boolean;
};

/** A caller with one request at a time that goes to another proxy with each of them. */
export class RoamingSession {
	readonly #options: RoamingSessionOptions;
	#token = '';
	#lastProxy = '';
	#keyCount = 0;

	constructor(options: RoamingSessionOptions) {
		this.#options = options;
	}

	/**
	 * Sends the step until it has a final answer. An unknown outcome is repeated with the same key;
	 * a write that did not run is sent again as a new request with a key of its own, so that the
	 * checker can tell a "not run" that was false. Undefined if the time ran out.
	 */
	async perform(step: SessionStep): Promise<CallAnswer | undefined> {
		const {timers, stepTimeoutMs} = this.#options;
		const deadlineMs = timers.nowMs() + stepTimeoutMs;
		let key = this.#newKey(step);
		let hasUnknownAttempt = false;
		while (timers.nowMs() < deadlineMs) {
			const answer = await this.#attempt(step, key);
			if (answer.outcome === 'done' || (answer.outcome === 'not-run' && this.#isFinal(answer.retryAfterMs, hasUnknownAttempt))) {
				return answer;
			}

			hasUnknownAttempt ||= answer.outcome === 'unknown';
			key = hasUnknownAttempt ? key : this.#newKey(step);
			await timers.sleep(this.#retryWaitMs(answer.retryAfterMs));
		}

		return undefined;
	}

	#isFinal(retryAfterMs: number, hasUnknownAttempt: boolean): boolean {
		return retryAfterMs === 0 || !(this.#options.repeatsRefused || hasUnknownAttempt);
	}

	#newKey(step: SessionStep): CallRequest['requestKey'] {
		if (step.access === 'read') {
			return undefined;
		}

		this.#keyCount += 1;
		return {key: `${this.#options.sessionId}-${this.#keyCount}`, issuedUnixMs: this.#options.timers.wallClockMs()};
	}

	#retryWaitMs(retryAfterMs: number): number {
		const waitMs = Math.min(retryAfterMs === 0 ? defaultRetryWaitMs : retryAfterMs, maxRetryWaitMs);
		return waitMs * (1 + (this.#options.random.fraction() / 4));
	}

	async #attempt(step: SessionStep, requestKey: CallRequest['requestKey']): Promise<CallAnswer> {
		const proxy = await this.#nextProxy();
		const {client, timers, database, sessionId, timeoutMs} = this.#options;
		const invokeMs = timers.nowMs();
		const answer = await client.execute(proxy, {
			...step, database, sessionToken: this.#token, requestKey, timeoutMs, callerId: sessionId,
		});
		this.#record(step, {proxy, invokeMs, requestKey: requestKey?.key}, answer);
		if (answer.outcome === 'done' && answer.sessionToken !== '') {
			this.#token = answer.sessionToken;
		}

		return answer;
	}

	async #nextProxy(): Promise<string> {
		const {directory, random, timers} = this.#options;
		for (;;) {
			const ready = directory.readyProxies();
			const others = ready.filter(proxy => proxy !== this.#lastProxy);
			const proxy = random.pick(others.length > 0 ? others : ready);
			if (proxy !== undefined) {
				this.#lastProxy = proxy;
				return proxy;
			}

			await timers.sleep(noProxyWaitMs);
		}
	}

	#record(step: SessionStep, attempt: {proxy: string; invokeMs: number; requestKey?: string}, answer: CallAnswer): void {
		const {recorder, timers, sessionId, database} = this.#options;
		const {statement, parameters, access, maxAgeMs} = step;
		recorder.record({
			sessionId, database, access, statement, parameters, maxAgeMs, ...attempt, returnMs: timers.nowMs(), rows: [], ...answer,
		});
	}
}
