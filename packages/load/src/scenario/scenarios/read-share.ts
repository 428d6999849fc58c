import {type CheckReport} from '../../checker/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {delayOneReplica} from '../infra/replica-lag.js';

/** The far replica of the design's target for the share of reads at replicas. */
const farReplicaLagMs = 30_000;

const targetShare = 0.9;

/** One replica of each group is 30 s behind; reads must go to the other one, and none may be stale. */
export class ReadShareScenario implements Scenario {
	get name(): string {
		return 'read-share';
	}

	get summary(): string {
		return 'one replica of each group is 30 s behind; 0.9 of the reads go to replicas';
	}

	async run({deployment, log}: ScenarioContext): Promise<void> {
		await delayOneReplica(deployment, farReplicaLagMs, log);
	}

	verify(_context: ScenarioContext, {replicaReadShare}: CheckReport): string[] {
		return replicaReadShare < targetShare ? [`the share of reads at replicas is ${replicaReadShare}, the target is ${targetShare}`] : [];
	}
}
