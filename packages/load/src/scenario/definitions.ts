import {type TimerService} from '@dogwoodthread/coordination';
import {type CheckReport} from '../checker/index.js';
import {type Deployment, type DeploymentPlan} from '../deployment/index.js';
import {type HistoryEntry} from '../history/index.js';
import {
	type RoamingSession, type RoamingSessionOptions, type StepRecord, type WorkloadOptions, type WorkloadStats,
} from '../workload/index.js';

/** Reports progress; `fields` are for machines. */
export type ProgressLog = (message: string, fields?: Record<string, unknown>) => void;

export type ScenarioOptions = {
	/** Apply lag of one replica of each group, for `steady`. */
	applyLagMs?: number;
};

/** What a scenario works with while the load runs. */
export type ScenarioContext = {
	deployment: Deployment;
	seed: number;
	timers: TimerService;
	/** Time that the load runs in ms; faults are placed relative to it. */
	durationMs: number;
	options: ScenarioOptions;
	log: ProgressLog;
	/** Notes the start of the fault for the write gap. Without a database it concerns all of them. */
	markFault(database?: string): void;
	/** Adds a figure to the result. */
	report(name: string, value: unknown): void;
	history(): readonly HistoryEntry[];
	/** Steps of the load that have started. */
	steps(): readonly StepRecord[];
	setRate(ratePerSecond: number): void;
	/** A further session, recorded in the same history. */
	createSession(sessionId: string, database: string, overrides?: Partial<RoamingSessionOptions>): RoamingSession;
};

/** A fault or a kind of load, and what must hold beyond the checks that every run makes. */
export type Scenario = {
	readonly name: string;
	readonly summary: string;
	/** Changes to the deployment that the scenario needs. */
	adaptPlan?(plan: DeploymentPlan): DeploymentPlan;
	/** Changes to the load that the scenario needs. */
	adaptLoad?(plan: DeploymentPlan): Partial<WorkloadOptions>;
	/** Runs beside the load: injects its faults and has healed them when it returns. */
	run(context: ScenarioContext): Promise<void>;
	/** Further violations, in words. */
	verify?(context: ScenarioContext, report: CheckReport): string[];
	/** Figures against a run of the same scenario and seed with first-in-first-out admission. */
	compare?(result: RunResult, baseline: RunResult): Record<string, unknown>;
};

export type RunOptions = {
	scenario: Scenario;
	plan: DeploymentPlan;
	seed: number;
	durationMs: number;
	ratePerSecond: number;
	scenarioOptions: ScenarioOptions;
	/** Keep the logs of all processes even if everything held. */
	keepsLogs: boolean;
	timers: TimerService;
	log: ProgressLog;
};

export type RunResult = {
	ok: boolean;
	report: CheckReport;
	workload: WorkloadStats;
	/** Figures of the scenario. */
	figures: Record<string, unknown>;
	/** Why `ok` is false. */
	violations: string[];
};
