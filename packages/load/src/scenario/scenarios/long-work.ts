import {type DeploymentPlan} from '../../deployment/index.js';
import {HoldPlan, type SessionStep, type WorkloadOptions} from '../../workload/index.js';
import {type RunResult, type Scenario, type ScenarioContext} from '../definitions.js';
import {latencyOf, round, stepsDueIn} from '../domain/step-windows.js';

const holdMs = 20;

const refundRunMs = 1500;

/** Refund runs that are started at once; more than there are slots, so that a queue of them forms. */
const longSessions = 6;

const longTimeoutMs = 15_000;

/** Short work uses this share of the slots, so that its wait without long work is short. */
const shortShare = 0.2;

/** Short work alone, then the same short work beside refund runs. */
export class LongWorkScenario implements Scenario {
	#longDone = 0;

	get name(): string {
		return 'long-work';
	}

	get summary(): string {
		return 'short work beside refund runs that take much longer; runs again with fifo';
	}

	adaptPlan(plan: DeploymentPlan): DeploymentPlan {
		return {...plan, databases: plan.databases.slice(0, 1), serviceMs: {...plan.serviceMs, hold_lane: holdMs, refund_run: refundRunMs}};
	}

	adaptLoad({slots}: DeploymentPlan): Partial<WorkloadOptions> {
		return {ratePerSecond: slots * 1000 / holdMs * shortShare, createPlan: sessionId => new HoldPlan(sessionId)};
	}

	async run(context: ScenarioContext): Promise<void> {
		const {durationMs, timers, log, steps, report} = context;
		this.#longDone = 0;
		const startMs = timers.nowMs();
		await timers.sleep(durationMs * 0.4);
		const longFromMs = timers.nowMs();
		const longEndMs = startMs + durationMs;
		log(`${longSessions} sessions run refund runs of ${refundRunMs} ms`);
		await Promise.all(Array.from({length: longSessions}, async (_, index) => this.#repeatRefundRun(context, index, longEndMs)));
		const alone = latencyOf(stepsDueIn(steps(), startMs, longFromMs));
		const beside = latencyOf(stepsDueIn(steps(), longFromMs, longEndMs));
		report('shortAlone', alone);
		report('shortBesideLong', beside);
		report('shortP99Ratio', round(beside.p99Ms / alone.p99Ms));
		report('shortP99WaitRatio', round((beside.p99Ms - holdMs) / Math.max(1, alone.p99Ms - holdMs)));
		report('longDone', this.#longDone);
		report('longSlotsUsed', round(this.#longDone * refundRunMs / (timers.nowMs() - longFromMs)));
	}

	compare(result: RunResult, baseline: RunResult): Record<string, unknown> {
		return {shortP99RatioToFifo: round(Number(result.figures.shortP99Ratio) / Number(baseline.figures.shortP99Ratio))};
	}

	async #repeatRefundRun({deployment, timers, createSession}: ScenarioContext, index: number, endMs: number): Promise<void> {
		const session = createSession(`long${index}`, deployment.plan.databases[0] ?? '', {timeoutMs: longTimeoutMs, stepTimeoutMs: longTimeoutMs * 2});
		for (let run = 0; timers.nowMs() < endMs - refundRunMs; run += 1) {
			const step: SessionStep = {
				statement: 'refund_run', parameters: [`batch-${index}-${run}`], access: 'write', workClass: 'long',
			};
			const answer = await session.perform(step);
			this.#longDone += answer?.outcome === 'done' ? 1 : 0;
		}
	}
}
