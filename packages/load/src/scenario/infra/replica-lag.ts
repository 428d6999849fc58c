import {setEndpointFaults, type Deployment} from '../../deployment/index.js';
import {type ProgressLog} from '../definitions.js';

/** Makes one replica of each group apply entries late. */
export const delayOneReplica = async (deployment: Deployment, applyLagMs: number, log: ProgressLog): Promise<void> => {
	await Promise.all(deployment.plan.databases.map(async database => {
		const primary = await deployment.primaryOf(database);
		const replica = deployment.endpointsOf(database).find(endpoint => endpoint !== primary);
		if (replica) {
			log(`${replica.memberId} applies entries ${applyLagMs} ms late`);
			await setEndpointFaults(replica, {applyLagMs});
		}
	}));
};
