import {type Deployment} from '../../deployment/index.js';

const metricPattern = /^process_cpu_seconds_total (?<seconds>[\d.e+-]+)$/m;

/** Processor time that all proxies of a deployment have used since their start, in seconds. */
export const readProcessorSeconds = async ({proxies}: Deployment): Promise<number> => {
	const seconds = await Promise.all(proxies.map(async ({adminAddress}) => {
		const response = await fetch(`http://${adminAddress}/metrics`);
		const match = metricPattern.exec(await response.text());
		return Number(match?.groups?.seconds ?? 0);
	}));
	return seconds.reduce((sum, value) => sum + value, 0);
};
