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
	/** Mean number of steps that become due per second, independent of how long answers take. */
	ratePerSecond: number;
	/** Maximum number of sessions, and therefore of requests in flight. */
	maxSessions: number;
	timeoutMs: number;
	stepTimeoutMs: number;
	shouldRetryRefused: boolean;
	createPlan(sessionId: string, random: SeededRandom): StepPlan;
};

type SessionSlot = {session: RoamingSession; plan: StepPlan; isIdle: boolean};

/**
 * Open-loop load generator: steps become due at random times at a given rate, and latency is measured from the due time.
 * A slow answer therefore does not reduce the load that reveals it (coordinated omission).
 */
export class Workload {
	readonly #options: WorkloadOptions;
	readonly #slots: SessionSlot[] = [];
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

	/** Steps that were started or dropped, in the order in which they were due. */
	steps(): StepRecord[] {
		const nowMs = this.#options.timers.nowMs();
		return this.#steps.map(step => step.outcome === 'pending' ? {...step, endMs: nowMs} : step);
	}

	start(): void {
		this.#arrivals = this.#generateArrivals();
	}

	/** Stops the arrivals and waits until every step has a final answer or is abandoned. */
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
			// Timers have a resolution of 1 ms, so arrivals that are due sooner start immediately.
			if (waitMs >= 1) {
				await timers.sleep(waitMs);
			}

			this.#startStep(dueMs);
		}
	}

	#startStep(dueMs: number): void {
		const slot = this.#pickSlot();
		if (!slot) {
			this.#steps.push({
				statement: '', access: 'read', dueMs, endMs: dueMs, outcome: 'dropped',
			});
			return;
		}

		slot.isIdle = false;
		const stepDone = this.#runStep(slot, dueMs);
		this.#running.add(stepDone);
		void this.#removeWhenDone(stepDone);
	}

	async #removeWhenDone(stepDone: Promise<void>): Promise<void> {
		await stepDone;
		this.#running.delete(stepDone);
	}

	async #runStep(slot: SessionSlot, dueMs: number): Promise<void> {
		const step = slot.plan.next();
		const record: StepRecord = {
			statement: step.statement, access: step.access, dueMs, endMs: dueMs, outcome: 'pending',
		};
		this.#steps.push(record);
		const answer = await slot.session.perform(step);
		record.endMs = this.#options.timers.nowMs();
		record.outcome = answer?.outcome ?? 'abandoned';
		slot.isIdle = true;
		if (!answer) {
			return;
		}

		this.#latency[step.access].record(record.endMs - dueMs);
		if (answer.outcome === 'done' && answer.statementError === undefined) {
			slot.plan.acknowledge(step);
		}
	}

	/** Returns an idle session, or now and then a new one until `maxSessions` is reached; undefined if all sessions are busy. */
	#pickSlot(): SessionSlot | undefined {
		const {random, maxSessions} = this.#options;
		const idleSlots = this.#slots.filter(slot => slot.isIdle);
		const canAddSession = this.#slots.length < maxSessions;
		return canAddSession && (idleSlots.length === 0 || random.fraction() < 0.1) ? this.#addSlot() : random.pick(idleSlots);
	}

	#addSlot(): SessionSlot {
		const {databases, random, createPlan} = this.#options;
		const sessionId = `s${this.#slots.length + 1}`;
		const database = databases[this.#slots.length % databases.length] ?? '';
		const slot = {
			session: new RoamingSession({
				...this.#options, sessionId, database, random: random.fork(),
			}),
			plan: createPlan(sessionId, random.fork()),
			isIdle: true,
		};
		this.#slots.push(slot);
		return slot;
	}
}
