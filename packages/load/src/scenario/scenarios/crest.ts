import {type DeploymentPlan} from '../../deployment/index.js';
import {HoldPlan, type WorkloadOptions} from '../../workload/index.js';
import {type RunResult, type Scenario, type ScenarioContext} from '../definitions.js';
import {
	acceptedWithinDeadline, goodputPerSecond, latencyOf, recoveryMs, round, stepsDueIn,
} from '../domain/step-windows.js';

/** Long enough that five times the capacity is few calls a second for the load tool itself. */
const holdMs = 50;

const deadlineMs = 1000;

const peakFactor = 5;

/** The peak is reached in this many equal steps within 2 s. */
const rampSteps = 4;

const rampMs = 2000;

const capacityOf = (plan: DeploymentPlan): number => plan.slots * 1000 / holdMs;

/** Load at capacity, a rise to five times of it within 2 s, and half of it afterwards. */
export class CrestScenario implements Scenario {
	get name(): string {
		return 'crest';
	}

	get summary(): string {
		return 'demand rises to five times the capacity within 2 s; runs again with fifo';
	}

	adaptPlan(plan: DeploymentPlan): DeploymentPlan {
		return {...plan, databases: plan.databases.slice(0, 1), serviceMs: {...plan.serviceMs, hold_lane: holdMs}};
	}

	adaptLoad(plan: DeploymentPlan): Partial<WorkloadOptions> {
		return {
			ratePerSecond: capacityOf(plan) / 2, maxSessions: 2000, timeoutMs: deadlineMs, shouldRetryRefused: false, createPlan: sessionId => new HoldPlan(sessionId),
		};
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, durationMs, timers, setRate} = context;
		const capacity = capacityOf(deployment.plan);
		await timers.sleep(durationMs * 0.1);
		setRate(capacity);
		const capacityFromMs = timers.nowMs();
		await timers.sleep(durationMs * 0.25);
		const rampFromMs = timers.nowMs();
		for (let step = 1; step <= rampSteps; step += 1) {
			setRate(capacity * (1 + ((peakFactor - 1) * step / rampSteps)));
			await timers.sleep(rampMs / rampSteps);
		}

		const peakFromMs = timers.nowMs();
		await timers.sleep(durationMs * 0.3);
		const peakEndMs = timers.nowMs();
		setRate(capacity / 2);
		await timers.sleep((durationMs * 0.2) + deadlineMs);
		this.#report(context, {
			capacityFromMs, rampFromMs, peakFromMs, peakEndMs, endMs: timers.nowMs() - deadlineMs,
		});
	}

	compare(result: RunResult, baseline: RunResult): Record<string, unknown> {
		return {goodputAtPeakToFifo: round(Number(result.figures.goodputAtPeak) / Math.max(1, Number(baseline.figures.goodputAtPeak)))};
	}

	#report({report, steps}: ScenarioContext, times: Record<'capacityFromMs' | 'rampFromMs' | 'peakFromMs' | 'peakEndMs' | 'endMs', number>): void {
		const all = steps();
		const {capacityFromMs, rampFromMs, peakFromMs, peakEndMs, endMs} = times;
		const atCapacity = goodputPerSecond(all, capacityFromMs, rampFromMs, deadlineMs);
		const atPeak = goodputPerSecond(all, peakFromMs, peakEndMs, deadlineMs);
		const peak = stepsDueIn(all, rampFromMs, peakEndMs);
		report('goodputAtCapacity', round(atCapacity));
		report('goodputAtPeak', round(atPeak));
		report('goodputRatio', round(atPeak / Math.max(1, atCapacity)));
		report('acceptedWithinDeadline', round(acceptedWithinDeadline(peak, deadlineMs)));
		report('refusals', latencyOf(peak.filter(({outcome}) => outcome === 'not-run')));
		report('recoveryMs', recoveryMs(all, peakEndMs, endMs, deadlineMs));
	}
}
