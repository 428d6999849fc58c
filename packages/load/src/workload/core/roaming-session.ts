import {type TimerService} from '@dogwoodthread/coordination';
import {type HistoryRecorder} from '../../history/index.js';
import {
	type CallAnswer, type CallerClient, type CallRequest, type ProxyDirectory, type SessionStep,
} from '../definitions.js';
import {type SeededRandom} from '../domain/seeded-random.js';

/** Limits the delay before a retry, because a proxy may state a long retry-after while a group has no primary. */
const maxRetryDelayMs = 1000;

/** Delay before a retry if the answer states none. */
const defaultRetryDelayMs = 50;

const proxyPollIntervalMs = 50;

export type RoamingSessionOptions = {
	sessionId: string;
	database: string;
	client: CallerClient;
	directory: ProxyDirectory;
	recorder: HistoryRecorder;
	timers: TimerService;
	random: SeededRandom;
	/** Time limit of one attempt. */
	timeoutMs: number;
	/** Time limit of a step, including its retries, after which it is abandoned. */
	stepTimeoutMs: number;
	/** Whether a refused step is retried after the stated delay; otherwise a refusal is final, unless an earlier attempt is unknown. */
	shouldRetryRefused: boolean;
};

/** A session with one request in flight at a time that sends each attempt to another proxy than the one before. */
export class RoamingSession {
	readonly #options: RoamingSessionOptions;
	#token = '';
	#lastProxy = '';
	#keyCount = 0;

	constructor(options: RoamingSessionOptions) {
		this.#options = options;
	}

	/**
	 * Sends the step until it has a final answer, or returns undefined at its time limit. An unknown outcome is retried
	 * with the same request key. A write that did not run is sent again with a new key, so that the checker can detect a
	 * false "not run": its key would be in the log.
	 */
	async perform(step: SessionStep): Promise<CallAnswer | undefined> {
		const {timers, stepTimeoutMs} = this.#options;
		const deadlineMs = timers.nowMs() + stepTimeoutMs;
		let key = this.#createRequestKey(step);
		let hasUnknownAttempt = false;
		while (timers.nowMs() < deadlineMs) {
			const answer = await this.#attempt(step, key);
			if (answer.outcome === 'done' || (answer.outcome === 'not-run' && this.#isFinal(answer.retryAfterMs, hasUnknownAttempt))) {
				return answer;
			}

			hasUnknownAttempt ||= answer.outcome === 'unknown';
			key = hasUnknownAttempt ? key : this.#createRequestKey(step);
			await timers.sleep(this.#retryDelayMs(answer.retryAfterMs));
		}

		return undefined;
	}

	#isFinal(retryAfterMs: number, hasUnknownAttempt: boolean): boolean {
		return retryAfterMs === 0 || !(this.#options.shouldRetryRefused || hasUnknownAttempt);
	}

	#createRequestKey(step: SessionStep): CallRequest['requestKey'] {
		if (step.access === 'read') {
			return undefined;
		}

		this.#keyCount += 1;
		return {key: `${this.#options.sessionId}-${this.#keyCount}`, issuedUnixMs: this.#options.timers.wallClockMs()};
	}

	#retryDelayMs(retryAfterMs: number): number {
		const waitMs = Math.min(retryAfterMs === 0 ? defaultRetryDelayMs : retryAfterMs, maxRetryDelayMs);
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

			await timers.sleep(proxyPollIntervalMs);
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
