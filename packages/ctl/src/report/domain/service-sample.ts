import {type ServiceSample} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type ReportError} from '../definitions.js';
import {parsePrometheusText, type MetricLine} from './prometheus-text.js';

const readRequestLabels = ({labels}: MetricLine) => ({
	database: labels.database ?? '', workClass: labels.work_class ?? '', outcome: labels.outcome ?? '',
});

/** Parses a bucket bound into ms, rounded to whole microseconds because 0.07 * 1000 is not exactly 70 in floating point. */
const parseBucketBoundMs = (le: string | undefined): number | null =>
	le === undefined || le === '+Inf' ? null : Math.round(Number(le) * 1_000_000) / 1000;

/** Parses the counters of a proxy from its metrics page. */
export const parseServiceSample = (text: string, host: string, atUnixMs: number): Result<ServiceSample, ReportError> => {
	const lines = parsePrometheusText(text);
	const startSeconds = lines.find(({name}) => name === 'process_start_time_seconds')?.value;
	if (startSeconds === undefined || !Number.isFinite(startSeconds)) {
		return err({
			kind: 'metrics-invalid',
			message: `The metrics of ${host} lack process_start_time_seconds; check that the address is the admin address of a proxy.`,
		});
	}

	const linesNamed = (metricName: string) => lines.filter(({name, value}) => name === metricName && Number.isFinite(value));
	return ok({
		atUnixMs,
		host,
		startedUnixMs: Math.round(startSeconds * 1000),
		requests: linesNamed('dogwood_requests_total').map(line => ({
			...readRequestLabels(line), code: line.labels.code ?? '', count: line.value,
		})),
		latencies: linesNamed('dogwood_request_duration_seconds_bucket').map(line => ({
			...readRequestLabels(line), upToMs: parseBucketBoundMs(line.labels.le), count: line.value,
		})),
		reads: linesNamed('dogwood_reads_total').map(({labels, value}) => ({
			database: labels.database ?? '', servedBy: labels.served_by ?? '', count: value,
		})),
		promotions: linesNamed('dogwood_promotions_total').map(({labels, value}) => ({
			database: labels.database ?? '', result: labels.result ?? '', count: value,
		})),
	});
};
