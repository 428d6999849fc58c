import {type FinalGroupState} from '../../checker/index.js';
import {type EndpointHandle} from '../definitions.js';
import {readEndpointLog, readEndpointRows, readEndpointStats} from '../infra/endpoint-control.js';
import {type Deployment} from './deployment.js';

/** Polling interval while replicas catch up. */
const pollIntervalMs = 100;

const lastIndex = async (endpoint: EndpointHandle): Promise<string> => {
	const entries = await readEndpointLog(endpoint);
	const last = entries.at(-1);
	return last ? `${last.term}/${last.index}` : 'empty';
};

/** Waits until the logs of all running members of the group end at the same entry. */
export const waitUntilCaughtUp = async (deployment: Deployment, database: string, timeoutMs: number): Promise<boolean> => {
	const deadline = performance.now() + timeoutMs;
	const members = deployment.endpointsOf(database).filter(endpoint => endpoint.process.isRunning);
	for (;;) {
		const ends = await Promise.all(members.map(async member => lastIndex(member)));
		if (ends.every(end => end === ends[0])) {
			return true;
		}

		if (performance.now() > deadline) {
			return false;
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
};

/** Log and rows of the current primary, and the connection counts of all running members. */
export const readTruth = async (deployment: Deployment, database: string): Promise<FinalGroupState> => {
	const primary = await deployment.primaryOf(database);
	const members = deployment.endpointsOf(database).filter(endpoint => endpoint.process.isRunning);
	const [entries, rows, stats] = await Promise.all([
		readEndpointLog(primary),
		readEndpointRows(primary),
		Promise.all(members.map(async member => readEndpointStats(member))),
	]);
	const maxConnectionsSeen: Record<string, number> = Object.fromEntries(members.map(({memberId}, index) => [memberId, stats[index]?.maxConnectionsSeen ?? 0]));
	return {
		database, entries, ...rows, maxConnectionsSeen,
	};
};
