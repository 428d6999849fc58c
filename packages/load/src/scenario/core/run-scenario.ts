import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {checkHistory, isDataConsistent, type CheckReport} from '../../checker/index.js';
import {
	Deployment, type DeploymentPlan, readTruth, waitUntilCaughtUp,
} from '../../deployment/index.js';
import {HistoryRecorder} from '../../history/index.js';
import {
	ConnectCallerClient, RoamingSession, SeededRandom, SessionPlan, Workload, type RoamingSessionOptions,
} from '../../workload/index.js';
import {
	type RunOptions, type RunResult, type Scenario, type ScenarioContext,
} from '../definitions.js';
import {ReadyProxies} from '../infra/ready-proxies.js';

const readyTimeoutMs = 20_000;

const catchUpTimeoutMs = 15_000;

/** Deadline of one attempt; the users' callers give up after a few seconds. */
const attemptTimeoutMs = 2000;

/** Longer than a failover at the design size (12 s), so that a step sees its end. */
const stepTimeoutMs = 20_000;

const maxSessions = 200;

/** One run: starts the deployment, loads it, lets the scenario do its harm, stops and checks. */
export class ScenarioRun {
	readonly #options: RunOptions;
	readonly #scenario: Scenario;
	readonly #plan: DeploymentPlan;
	readonly #deployment: Deployment;
	readonly #recorder = new HistoryRecorder();
	readonly #client = new ConnectCallerClient();
	readonly #random: SeededRandom;
	readonly #figures: Record<string, unknown> = {};
	#directory: ReadyProxies | undefined;
	#fault: {atMs: number; database?: string} | undefined;

	constructor(options: RunOptions) {
		this.#options = options;
		this.#scenario = options.scenario;
		this.#plan = this.#scenario.adaptPlan?.(options.plan) ?? options.plan;
		this.#deployment = new Deployment(this.#plan);
		this.#random = new SeededRandom(options.seed);
	}

	/** Never leaves a process behind. On an error the logs of all processes are kept in a folder. */
	async run(): Promise<RunResult> {
		try {
			const result = await this.#runSteps();
			if (!result.ok || this.#options.keepsLogs) {
				this.#options.log(`logs are in ${await this.#dumpLogs()}`);
			}

			return result;
		} catch (error) {
			this.#options.log(`the run failed; logs are in ${await this.#dumpLogs()}`);
			throw error;
		} finally {
			await this.stop();
		}
	}

	async stop(): Promise<void> {
		this.#directory?.close();
		this.#client.close();
		await this.#deployment.stop();
	}

	/** Logs of all processes and the history, one entry a line. */
	async #dumpLogs(): Promise<string> {
		const folder = await this.#deployment.dumpLogs();
		await writeFile(path.join(folder, 'history.jsonl'), this.#recorder.entries().map(entry => `${JSON.stringify(entry)}\n`).join(''));
		return folder;
	}

	async #runSteps(): Promise<RunResult> {
		const {log, durationMs, timers} = this.#options;
		const scenario = this.#scenario;
		const directory = await this.#startDeployment();
		await this.#warmUp(directory);
		const workload = this.#createWorkload(directory);
		const context = this.#createContext(directory, workload);
		log(`load runs for ${durationMs / 1000} s beside scenario ${scenario.name}`);
		workload.start();
		const [scenarioErrors] = await Promise.all([this.#runScenario(context), timers.sleep(durationMs)]);
		log('load ends, waiting for the last answers');
		await workload.stop();
		const report = await this.#check();
		const violations = [...scenarioErrors, ...this.#deployment.crashedProcesses().map(name => `${name} crashed`), ...this.#violations(report), ...scenario.verify?.(context, report) ?? []];
		return {
			ok: violations.length === 0, report, workload: workload.stats(), figures: this.#figures, violations,
		};
	}

	/** A scenario that fails is a violation; the history is checked all the same. */
	async #runScenario(context: ScenarioContext): Promise<string[]> {
		try {
			await this.#scenario.run(context);
			return [];
		} catch (error) {
			const message = error instanceof Error ? error.message : String(error);
			this.#options.log(`the scenario failed: ${message}`);
			return [message];
		}
	}

	async #startDeployment(): Promise<ReadyProxies> {
		const {log, timers} = this.#options;
		const plan = this.#plan;
		log(`starting a platform, ${plan.databases.length} x ${plan.instancesPerDatabase} endpoints and ${plan.proxies} proxies`);
		await this.#deployment.start();
		this.#directory = new ReadyProxies(this.#deployment, timers);
		const deadlineMs = timers.nowMs() + readyTimeoutMs;
		while (this.#directory.readyProxies().length < plan.proxies) {
			if (timers.nowMs() > deadlineMs) {
				throw new Error(`Only ${this.#directory.readyProxies().length} of ${plan.proxies} proxies are ready after ${readyTimeoutMs} ms.`);
			}

			await timers.sleep(50);
		}

		log('all proxies are ready');
		return this.#directory;
	}

	/** Waits until every group acknowledges a write. */
	async #warmUp(directory: ReadyProxies): Promise<void> {
		await Promise.all(this.#plan.databases.map(async database => {
			const sessionId = `warm-${database}`;
			const session = new RoamingSession({...this.#sessionOptions(directory), sessionId, database});
			const answer = await session.perform(new SessionPlan(sessionId, this.#random.fork()).next());
			if (answer?.outcome !== 'done') {
				throw new Error(`${database} acknowledged no write within ${stepTimeoutMs} ms; the last answer was ${JSON.stringify(this.#recorder.entries().at(-1))}`);
			}
		}));
	}

	#createWorkload(directory: ReadyProxies): Workload {
		return new Workload({
			...this.#sessionOptions(directory),
			databases: this.#plan.databases,
			ratePerSecond: this.#options.ratePerSecond,
			maxSessions,
			createPlan: (sessionId, random) => new SessionPlan(sessionId, random),
			...this.#scenario.adaptLoad?.(this.#plan),
		});
	}

	#sessionOptions(directory: ReadyProxies): Omit<RoamingSessionOptions, 'sessionId' | 'database'> {
		return {
			client: this.#client,
			directory,
			recorder: this.#recorder,
			timers: this.#options.timers,
			random: this.#random.fork(),
			timeoutMs: attemptTimeoutMs,
			stepTimeoutMs,
			shouldRetryRefused: true,
		};
	}

	#createContext(directory: ReadyProxies, workload: Workload): ScenarioContext {
		const {timers, durationMs, scenarioOptions, log, seed} = this.#options;
		return {
			deployment: this.#deployment,
			seed,
			timers,
			durationMs,
			options: scenarioOptions,
			log,
			markFault: database => {
				this.#fault = {atMs: timers.nowMs(), database};
			},
			report: (name, value) => {
				this.#figures[name] = value;
			},
			history: () => this.#recorder.entries(),
			steps: () => workload.steps(),
			setRate(ratePerSecond) {
				workload.setRate(ratePerSecond);
			},
			createSession: (sessionId, database, overrides) => new RoamingSession({
				...this.#sessionOptions(directory), sessionId, database, ...overrides,
			}),
		};
	}

	async #check(): Promise<CheckReport> {
		const {log} = this.#options;
		const plan = this.#plan;
		const caughtUp = await Promise.all(plan.databases.map(async database => waitUntilCaughtUp(this.#deployment, database, catchUpTimeoutMs)));
		this.#figures.replicasCaughtUp = caughtUp.every(Boolean);
		const truths = await Promise.all(plan.databases.map(async database => readTruth(this.#deployment, database)));
		log(`checking ${this.#recorder.entries().length} answers against the endpoints' logs`);
		return checkHistory({
			history: this.#recorder.entries(), finalStates: truths, connectionCap: plan.maxConnections, faultAtMs: this.#fault?.atMs, faultDatabase: this.#fault?.database,
		});
	}

	#violations(report: CheckReport): string[] {
		const checks: Array<[boolean, string]> = [
			[isDataConsistent(report), 'bookings, payments or sessions were harmed'],
			[report.writesResumed, 'no write was acknowledged after the fault'],
			[report.acknowledgedWrites > 0, 'no write was acknowledged at all'],
			[report.mixedAnswers === 0, 'answers belong to other requests'],
			[report.connectionsOverCap === 0, 'an instance had more connections than its cap'],
			[report.unknownOutcomes.unresolved === 0, 'unknown outcomes were not resolved'],
		];
		return checks.filter(([holds]) => !holds).map(([, message]) => message);
	}
}
