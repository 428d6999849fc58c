import {type TimerService} from '@dogwoodthread/coordination';
import {type HistoryRecorder} from '../../history/index.js';
import {
	type CallerClient, type ProxyDirectory, type StepPlan, type StepRecord, type WorkloadStats,
} from '../definitions.js';
import {LatencyRecorder} from '../domain/latency-recorder.js';
import {type SeededRandom} from '../domain/seeded-random.js';
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
	repeatsRefused: boolean;
	createPlan(sessionId: string, random: SeededRandom): StepPlan;
};

type Member = {session: RoamingSession; plan: StepPlan; isIdle: boolean};

/**
 * Open-loop load: steps become due at random times at a given rate, and latency counts from then,
 * so that a slow answer does not thin out the load that would have shown it.
 */
export class Workload {
	readonly #options: WorkloadOptions;
	readonly #members: Member[] = [];
	readonly #running = new Set<Promise<void>>();
	readonly #latency = {read: new LatencyRecorder(), write: new LatencyRecorder()};
	readonly #steps: StepRecord[] = [];
	#ratePerSecond: number;
	#isStopped = false;
	#arrivals: Promise<void> = Promise.resolve();

	constructor(options: WorkloadOptions) {
		this.#options = options;
		this.#ratePerSecond = options.ratePerSecond;
	}

	setRate(ratePerSecond: number): void {
		this.#ratePerSecond = ratePerSecond;
	}

	/** Steps that have started, in the order in which they were due. */
	steps(): StepRecord[] {
		const nowMs = this.#options.timers.nowMs();
		return this.#steps.map(step => step.outcome === 'pending' ? {...step, endMs: nowMs} : step);
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
		const count = (outcome: StepRecord['outcome']): number => this.#steps.filter(step => step.outcome === outcome).length;
		return {
			steps: this.#steps.length,
			abandonedSteps: count('abandoned'),
			droppedArrivals: count('dropped'),
			latency: {read: this.#latency.read.summary(), write: this.#latency.write.summary()},
		};
	}

	async #generateArrivals(): Promise<void> {
		const {timers, random} = this.#options;
		let dueMs = timers.nowMs();
		while (!this.#isStopped) {
			dueMs += random.arrivalGapMs(this.#ratePerSecond);
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
			this.#steps.push({
				statement: '', access: 'read', dueMs, endMs: dueMs, outcome: 'dropped',
			});
			return;
		}

		member.isIdle = false;
		const run = this.#runStep(member, dueMs);
		this.#running.add(run);
		void this.#forgetWhenDone(run);
	}

	async #forgetWhenDone(run: Promise<void>): Promise<void> {
		await run;
		this.#running.delete(run);
	}

	async #runStep(member: Member, dueMs: number): Promise<void> {
		const step = member.plan.next();
		const record: StepRecord = {
			statement: step.statement, access: step.access, dueMs, endMs: dueMs, outcome: 'pending',
		};
		this.#steps.push(record);
		const answer = await member.session.perform(step);
		record.endMs = this.#options.timers.nowMs();
		record.outcome = answer?.outcome ?? 'abandoned';
		member.isIdle = true;
		if (!answer) {
			return;
		}

		this.#latency[step.access].record(record.endMs - dueMs);
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
		const {databases, random, createPlan} = this.#options;
		const sessionId = `s${this.#members.length + 1}`;
		const database = databases[this.#members.length % databases.length] ?? '';
		const member = {
			session: new RoamingSession({
				...this.#options, sessionId, database, random: random.fork(),
			}),
			plan: createPlan(sessionId, random.fork()),
			isIdle: true,
		};
		this.#members.push(member);
		return member;
	}
}
