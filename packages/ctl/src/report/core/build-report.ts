import {
	burnSeries, reportBurn, type Objective, type ServiceSample,
} from '@dogwoodthread/coordination';
import {
	type BurnPlot, type MetricsReader, type ReportError, type ServiceLevelReport,
} from '../definitions.js';

const minuteMs = 60_000;
const plotRanges = [
	{title: 'Burn rate, last 6 hours in steps of 5 minutes', stepMs: 5 * minuteMs, steps: 72},
	{title: 'Burn rate, last 3 days in steps of 1 hour', stepMs: 60 * minuteMs, steps: 72},
];

export type CollectOptions = {
	proxies: readonly string[];
	reader: MetricsReader;
	onReadError: (proxy: string, error: ReportError) => void;
};

/** Reads the counters of all proxies; proxies that cannot be read are reported and skipped. */
export const collectSamples = async ({proxies, reader, onReadError: onUnread}: CollectOptions): Promise<{samples: ServiceSample[]; unread: string[]}> => {
	const read = await Promise.all(proxies.map(async proxy => ({proxy, result: await reader.read(proxy)})));
	for (const {proxy, result} of read) {
		if (result.isErr()) {
			onUnread(proxy, result.error);
		}
	}

	return {
		samples: read.flatMap(({result}) => result.isOk() ? [result.value] : []),
		unread: read.filter(({result}) => result.isErr()).map(({proxy}) => proxy),
	};
};

const createPlots = (objective: Objective, samples: readonly ServiceSample[], nowUnixMs: number): BurnPlot[] =>
	plotRanges.map(({title, stepMs, steps}) => ({title, points: burnSeries(objective, samples, {nowUnixMs, stepMs, steps})}));

export type BuildOptions = {
	objectives: readonly Objective[];
	samples: readonly ServiceSample[];
	unreadProxies: string[];
	nowUnixMs: number;
};

/** Computes the burn of each objective at `nowUnixMs`. */
export const buildReport = ({objectives, samples, unreadProxies, nowUnixMs}: BuildOptions): ServiceLevelReport => ({
	atUnixMs: nowUnixMs,
	sampleCount: samples.length,
	firstSampleUnixMs: samples.length === 0 ? undefined : samples.map(({atUnixMs}) => atUnixMs).sort((a, b) => a - b).at(0),
	unreadProxies,
	objectives: objectives.map(objective => ({
		...reportBurn(objective, samples, nowUnixMs), plots: createPlots(objective, samples, nowUnixMs),
	})),
});

