/** Simulates load on an admission in virtual time: streams of callers and an instance with given service times. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	FairAdmission, FifoAdmission, ManualTimerService, type Admission, type AdmissionLimits, type WorkClass,
} from '../../src/index.js';

export const createRandom = (seed: number) => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** Manual timers whose time advances from one due callback to the next. */
export class EventTimerService extends ManualTimerService {
	/** Due times in descending order. */
	readonly #dueMs: number[] = [];

	override after(delayMs: number, callback: () => void) {
		const dueMs = this.nowMs() + Math.max(0, delayMs);
		const index = this.#dueMs.findLastIndex(otherMs => otherMs >= dueMs);
		this.#dueMs.splice(index + 1, 0, dueMs);
		return super.after(delayMs, callback);
	}

	async runUntil(endMs: number): Promise<void> {
		// Requests made before this call set their timers only after pending promises have been processed.
		await this.advanceAsync(1e-6);
		while (this.nowMs() < endMs) {
			const nextMs = Math.min(endMs, this.#dueMs.pop() ?? endMs);
			await this.advanceAsync(Math.max(1e-6, nextMs - this.nowMs()));
		}
	}
}

export type Stream = {
	name: string;
	workClass?: WorkClass;
	statementName?: string;
	callers: number;
	/** Mean service time in ms; each run takes between 0.5 and 1.5 times as long. */
	serviceMs: number;
	deadlineMs: number;
	/** Total request rate of all callers in requests per second (Poisson arrivals), by time. */
	ratePerS?: (nowMs: number) => number;
	/** Instead of a rate: total number of requests that the callers keep outstanding. */
	outstanding?: number;
};

export type Outcome = {
	stream: string;
	callerId: string;
	atMs: number;
	queuedMs: number;
	answeredMs: number;
	/** `done` if it ended within the deadline, `late` if after it, or the refusal kind. */
	result: string;
	retryAfterMs: number;
};

export type Scenario = {
	seed: number;
	policy: 'fair' | 'fifo';
	limits: AdmissionLimits;
	streams: Stream[];
	durationMs: number;
	/** Factor on all service times, by time and number of running statements. */
	slowdownFactor?: (nowMs: number, running: number) => number;
	onStart?: (admission: Admission, timers: EventTimerService) => void;
};

export type Run = {outcomes: Outcome[]; maxRunning: number; busyMs: Record<string, number>};

/** Runs the scenario. A seed gives the same arrivals and service times under both policies. */
export const simulate = async (scenario: Scenario): Promise<Run> => {
	const {seed, policy, limits, streams, durationMs, slowdownFactor = () => 1} = scenario;
	const timers = new EventTimerService();
	const Policy = policy === 'fair' ? FairAdmission : FifoAdmission;
	const admission = new Policy({timers, limits, random: createRandom(seed + 1)});
	const run: Run = {outcomes: [], maxRunning: 0, busyMs: {}};
	scenario.onStart?.(admission, timers);

	const request = async (stream: Stream, serviceMs: number, caller: number) => {
		const atMs = timers.nowMs();
		const deadlineMs = atMs + stream.deadlineMs;
		const callerId = `${stream.name}-${caller}`;
		const answer = await admission.admit({
			callerId, statementName: stream.statementName ?? stream.name, workClass: stream.workClass, deadlineMs,
		});
		const base = {stream: stream.name, callerId, atMs};
		if (answer.isErr()) {
			run.outcomes.push({
				...base, queuedMs: 0, answeredMs: timers.nowMs(), result: answer.error.kind, retryAfterMs: answer.error.retryAfterMs,
			});
			return;
		}

		run.maxRunning = Math.max(run.maxRunning, admission.running);
		// The proxy gives up after twice the caller's time limit.
		const neededMs = serviceMs * slowdownFactor(timers.nowMs(), admission.running);
		const giveUpMs = atMs + (2 * stream.deadlineMs) - timers.nowMs();
		await timers.sleep(Math.min(neededMs, giveUpMs));
		const result = timers.nowMs() <= deadlineMs ? 'done' : 'late';
		answer.value.release(neededMs <= giveUpMs ? 'completed' : 'timeout');
		run.busyMs[stream.name] = (run.busyMs[stream.name] ?? 0) + serviceMs;
		run.outcomes.push({
			...base, queuedMs: answer.value.queuedMs, answeredMs: timers.nowMs(), result, retryAfterMs: 0,
		});
	};

	const arrive = (stream: Stream, random: () => number) => {
		const ratePerS = stream.ratePerS!(timers.nowMs());
		timers.after((-Math.log(1 - random()) * 1000) / ratePerS, () => {
			void request(stream, stream.serviceMs * (0.5 + random()), Math.floor(random() * stream.callers));
			arrive(stream, random);
		});
	};

	const keepOutstanding = async (stream: Stream, random: () => number, index: number) => {
		while (timers.nowMs() < durationMs) {
			await request(stream, stream.serviceMs * (0.5 + random()), index % stream.callers);
			await timers.sleep(1);
		}
	};

	for (const [index, stream] of streams.entries()) {
		const random = createRandom((seed * 100) + index);
		if (stream.outstanding === undefined) {
			arrive(stream, random);
		} else {
			for (let worker = 0; worker < stream.outstanding; worker++) {
				void keepOutstanding(stream, random, worker);
			}
		}
	}

	await timers.runUntil(durationMs);
	return run;
};

export const percentile = (values: number[], share: number): number =>
	values.sort((a, b) => a - b).at(Math.min(values.length - 1, Math.floor(values.length * share))) ?? 0;
