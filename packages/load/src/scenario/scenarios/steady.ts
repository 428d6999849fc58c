import {type Scenario, type ScenarioContext} from '../definitions.js';
import {readProcessorSeconds} from '../infra/processor-time.js';
import {delayOneReplica} from '../infra/replica-lag.js';

const warmUpShare = 0.4;
const measuredShare = 0.5;

/** Load without a failure; optionally one replica of each group applies entries late. */
export class SteadyScenario implements Scenario {
	get name(): string {
		return 'steady';
	}

	get summary(): string {
		return 'load without a failure; --apply-lag-ms delays one replica of each group';
	}

	async run({deployment, options, log, timers, durationMs, steps, report}: ScenarioContext): Promise<void> {
		if (options.applyLagMs !== undefined) {
			await delayOneReplica(deployment, options.applyLagMs, log);
		}

		// The first part warms up the compiler and the connections.
		await timers.sleep(durationMs * warmUpShare);
		const [cpuBefore, stepsBefore] = [await readProcessorSeconds(deployment), steps().length];
		await timers.sleep(durationMs * measuredShare);
		const [cpuAfter, stepsAfter] = [await readProcessorSeconds(deployment), steps().length];
		const cpuMs = (cpuAfter - cpuBefore) * 1000;
		report('measuredSteps', stepsAfter - stepsBefore);
		report('proxyCpuMs', Math.round(cpuMs));
		report('proxyCpuMsPerSecond', Math.round(cpuMs / (durationMs * measuredShare / 1000)));
	}
}
