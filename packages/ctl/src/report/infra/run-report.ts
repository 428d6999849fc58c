import {writeFile} from 'node:fs/promises';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {type Logger} from 'pino';
import {buildReport, collectSamples} from '../core/build-report.js';
import {type ObjectivesSource, type ReportError, type ServiceLevelReport} from '../definitions.js';
import {renderReportHtml} from '../domain/report-html.js';
import {formatReportText} from '../domain/report-text.js';
import {HttpMetricsReader} from './http-metrics-reader.js';
import {JsonLinesSampleStore} from './json-lines-sample-store.js';
import {YamlObjectives} from './yaml-objectives.js';

export type ReportOptions = {
	proxy?: string | string[];
	samples?: string;
	objectives?: string;
	json?: boolean;
	html?: string;
	/** Takes precedence over the objectives file; for example the governing document. */
	objectivesSource?: ObjectivesSource;
};

type ResolvedOptions = {proxies: string[]; samples: string; objectives: ObjectivesSource; json: boolean; html: string | undefined};

const resolveOptions = ({proxy = [], samples, objectives, json = false, html, objectivesSource}: ReportOptions): ResolvedOptions | undefined => {
	const source = objectivesSource ?? (typeof objectives === 'string' ? new YamlObjectives(objectives) : undefined);
	return typeof samples === 'string' && source && (html === undefined || typeof html === 'string')
		? {
			proxies: [proxy].flat().flatMap(list => String(list).split(',')).filter(Boolean), samples, objectives: source, json, html,
		}
		: undefined;
};

const collectAndBuildReport = async (options: ResolvedOptions, logger: Logger): Promise<Result<ServiceLevelReport, ReportError>> => {
	const objectives = await options.objectives.read();
	if (objectives.isErr()) {
		return err(objectives.error);
	}

	const timers = new SystemTimerService();
	const {samples, unread} = await collectSamples({
		proxies: options.proxies,
		reader: new HttpMetricsReader(timers),
		onReadError(proxy, error) {
			logger.warn({proxy, kind: error.kind}, error.message);
		},
	});
	const store = new JsonLinesSampleStore(options.samples);
	const stored = await store.append(samples).andThen(() => store.readAll());
	return stored.map(({samples: all, damagedLines}) => {
		if (damagedLines > 0) {
			logger.warn({damagedLines}, 'Skipped lines of the samples file that cannot be parsed; remove them.');
		}

		return buildReport({
			objectives: objectives.value, samples: all, unreadProxies: unread, nowUnixMs: timers.wallClockMs(),
		});
	});
};

const writeHtmlPage = async (path: string | undefined, report: ServiceLevelReport): Promise<Result<void, ReportError>> =>
	path === undefined
		? ok(undefined)
		: ResultAsync.fromPromise(writeFile(path, renderReportHtml(report)), cause => ({
			kind: 'output-failed' as const,
			message: `The page ${path} cannot be written (${cause instanceof Error ? cause.message : String(cause)}); check the path and its permissions.`,
		}));

/** Runs the report and returns the exit code: 0 for success, 1 for failure, 2 for invalid usage or objectives. */
export const runReport = async (reportOptions: ReportOptions, logger: Logger, print: (text: string, report: ServiceLevelReport) => void): Promise<number> => {
	const options = resolveOptions(reportOptions);
	if (!options) {
		logger.error('Give --samples FILE and --objectives FILE; --html also takes a file.');
		return 2;
	}

	const report = await collectAndBuildReport(options, logger);
	const written = report.isOk() ? await writeHtmlPage(options.html, report.value) : report;
	if (report.isErr() || written.isErr()) {
		const error = report.isErr() ? report.error : written._unsafeUnwrapErr();
		logger.error({kind: error.kind}, error.message);
		return error.kind === 'objectives-invalid' ? 2 : 1;
	}

	print(options.json ? `${JSON.stringify(report.value, undefined, 2)}\n` : formatReportText(report.value), report.value);
	return options.proxies.length > 0 && report.value.unreadProxies.length === options.proxies.length ? 1 : 0;
};
