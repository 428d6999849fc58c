import {type TimerService} from '@dogwoodthread/coordination';
import {type HistoryRecorder} from '../../history/index.js';
import {
	type CallerClient, type ProxyDirectory, type SessionStep, type WorkloadStats,
} from '../definitions.js';
import {LatencyRecorder} from '../domain/latency-recorder.js';
import {type SeededRandom} from '../domain/seeded-random.js';
import {SessionPlan} from '../domain/session-plan.js';
import {RoamingSession} from './roaming-session.js';

export type WorkloadOptions = {
	databases: string[];
	client: CallerClient;
	directory: ProxyDirectory;
	recorder: HistoryRecorder;
	timers: TimerService;
	random: SeededRandom;
	/** Steps that become due in a second, whatever the answers take. */
	ratePerSecond: number;
	/** Bound of the sessions, and with it of the requests in flight. */
	maxSessions: number;
	timeoutMs: number;
	stepTimeoutMs: number;
};

type Member = {session: RoamingSession; plan: SessionPlan; isIdle: boolean};

/**
 * Open-loop load: steps become due at random times at a given rate, and latency counts from then,
 * so that a slow answer does not thin out the load that would have shown it.
 */
export class Workload {
	readonly #options: WorkloadOptions;
	readonly #members: Member[] = [];
	readonly #running = new Set<Promise<void>>();
	readonly #latency = {read: new LatencyRecorder(), write: new LatencyRecorder()};
	readonly #counts = {steps: 0, abandonedSteps: 0, droppedArrivals: 0};
	#isStopped = false;
	#arrivals: Promise<void> = Promise.resolve();

	constructor(options: WorkloadOptions) {
		this.#options = options;
	}

	start(): void {
		this.#arrivals = this.#generateArrivals();
	}

	/** Ends the arrivals and waits until every step has its answer or is abandoned. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#arrivals;
		await Promise.all(this.#running);
	}

	stats(): WorkloadStats {
		return {...this.#counts, latency: {read: this.#latency.read.summary(), write: this.#latency.write.summary()}};
	}

	async #generateArrivals(): Promise<void> {
		const {timers, random, ratePerSecond} = this.#options;
		let dueMs = timers.nowMs();
		while (!this.#isStopped) {
			dueMs += random.arrivalGapMs(ratePerSecond);
			const waitMs = dueMs - timers.nowMs();
			// Timers are no finer than 1 ms; arrivals that are due sooner start at once.
			if (waitMs >= 1) {
				await timers.sleep(waitMs);
			}

			this.#startStep(dueMs);
		}
	}

	#startStep(dueMs: number): void {
		const member = this.#pickMember();
		if (!member) {
			this.#counts.droppedArrivals += 1;
			return;
		}

		this.#counts.steps += 1;
		member.isIdle = false;
		const run = this.#runStep(member, member.plan.next(), dueMs);
		this.#running.add(run);
		void this.#forgetWhenDone(run);
	}

	async #forgetWhenDone(run: Promise<void>): Promise<void> {
		await run;
		this.#running.delete(run);
	}

	async #runStep(member: Member, step: SessionStep, dueMs: number): Promise<void> {
		const answer = await member.session.perform(step);
		member.isIdle = true;
		if (!answer) {
			this.#counts.abandonedSteps += 1;
			return;
		}

		this.#latency[step.access].record(this.#options.timers.nowMs() - dueMs);
		if (answer.outcome === 'done' && answer.statementError === undefined) {
			member.plan.acknowledge(step);
		}
	}

	/** Mixes new sessions with known ones until the bound is reached. */
	#pickMember(): Member | undefined {
		const {random, maxSessions} = this.#options;
		const idle = this.#members.filter(member => member.isIdle);
		const mayAdd = this.#members.length < maxSessions;
		return mayAdd && (idle.length === 0 || random.fraction() < 0.1) ? this.#addMember() : random.pick(idle);
	}

	#addMember(): Member {
		const {databases, client, directory, recorder, timers, random, timeoutMs, stepTimeoutMs} = this.#options;
		const sessionId = `s${this.#members.length + 1}`;
		const database = databases[this.#members.length % databases.length] ?? '';
		const member = {
			session: new RoamingSession({
				sessionId, database, client, directory, recorder, timers, random: random.fork(), timeoutMs, stepTimeoutMs,
			}),
			plan: new SessionPlan(sessionId, random.fork()),
			isIdle: true,
		};
		this.#members.push(member);
		return member;
	}
}
