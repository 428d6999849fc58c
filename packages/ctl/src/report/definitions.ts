import {type BurnReport, type Objective, type ServiceSample} from '@dogwoodthread/coordination';
import {type Result, type ResultAsync} from 'neverthrow';

export type ReportErrorKind = 'metrics-unavailable' | 'metrics-invalid' | 'samples-unavailable' | 'objectives-invalid' | 'output-failed';

export type ReportError = {
	kind: ReportErrorKind;
	/** States the remedy. */
	message: string;
};

/** Reads the counters of one proxy. */
export type MetricsReader = {
	read(proxy: string): ResultAsync<ServiceSample, ReportError>;
};

/** Samples kept on the operator's side. */
export type SampleStore = {
	append(samples: readonly ServiceSample[]): ResultAsync<void, ReportError>;
	/** All samples, and the number of lines that could not be read. */
	readAll(): ResultAsync<{samples: ServiceSample[]; damagedLines: number}, ReportError>;
};

export type ObjectivesSource = {
	read(): Promise<Result<Objective[], ReportError>>;
};

/** Points of a plot of the burn rate. */
export type BurnPlot = {
	title: string;
	points: Array<{atUnixMs: number; burnRate: number; total: number; bad: number}>;
};

export type ServiceLevelReport = {
	atUnixMs: number;
	/** Samples that the report rests on. */
	sampleCount: number;
	/** Time of the first sample; absent without samples. */
	firstSampleUnixMs: number | undefined;
	/** Hosts whose counters could not be read this time. */
	unreadProxies: string[];
	objectives: Array<BurnReport & {plots: BurnPlot[]}>;
};
