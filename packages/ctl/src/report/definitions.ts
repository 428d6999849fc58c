import {type BurnReport, type Objective, type ServiceSample} from '@dogwoodthread/coordination';
import {type Result, type ResultAsync} from 'neverthrow';

export type ReportErrorKind = 'metrics-unavailable' | 'metrics-invalid' | 'samples-unavailable' | 'objectives-invalid' | 'output-failed';

export type ReportError = {
	kind: ReportErrorKind;
	/** Tells the operator what to check or correct. */
	message: string;
};

/** Reads the counters of one proxy. */
export type MetricsReader = {
	read(proxy: string): ResultAsync<ServiceSample, ReportError>;
};

/** Persistent counter samples, stored where the tool runs. */
export type SampleStore = {
	append(samples: readonly ServiceSample[]): ResultAsync<void, ReportError>;
	/** Reads all samples and counts the lines that cannot be parsed. */
	readAll(): ResultAsync<{samples: ServiceSample[]; damagedLines: number}, ReportError>;
};

export type ObjectivesSource = {
	read(): Promise<Result<Objective[], ReportError>>;
};

/** Burn rate over time, for one plot. */
export type BurnPlot = {
	title: string;
	points: Array<{atUnixMs: number; burnRate: number; total: number; bad: number}>;
};

export type ServiceLevelReport = {
	atUnixMs: number;
	/** Number of samples that the report is computed from. */
	sampleCount: number;
	/** Time of the first sample; absent without samples. */
	firstSampleUnixMs: number | undefined;
	/** Addresses of the proxies whose counters could not be read in this run. */
	unreadProxies: string[];
	objectives: Array<BurnReport & {plots: BurnPlot[]}>;
};
