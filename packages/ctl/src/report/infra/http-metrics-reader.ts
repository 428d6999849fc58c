import {type ServiceSample, type TimerService} from '@dogwoodthread/coordination';
import {errAsync, ResultAsync} from 'neverthrow';
import {type MetricsReader, type ReportError} from '../definitions.js';
import {parseServiceSample} from '../domain/service-sample.js';

/** A proxy on a healthy network answers within milliseconds. */
const readTimeoutMs = 5000;

const unavailable = (proxy: string, cause: unknown): ReportError => ({
	kind: 'metrics-unavailable',
	message: `The metrics of ${proxy} cannot be read (${cause instanceof Error ? cause.message : String(cause)}); check that the proxy runs and its admin address is reachable.`,
});

/** Reads `/metrics` of proxies over HTTP. */
export class HttpMetricsReader implements MetricsReader {
	constructor(private readonly timers: TimerService) {}

	read(proxy: string): ResultAsync<ServiceSample, ReportError> {
		const base = proxy.includes('://') ? proxy : `http://${proxy}`;
		if (!URL.canParse('/metrics', base)) {
			return errAsync(unavailable(proxy, 'not an address'));
		}

		return ResultAsync.fromPromise(this.#fetch(new URL('/metrics', base)), cause => unavailable(proxy, cause))
			.andThen(text => parseServiceSample(text, proxy, this.timers.wallClockMs()));
	}

	async #fetch(url: URL): Promise<string> {
		const abort = new AbortController();
		const timeout = this.timers.after(readTimeoutMs, () => {
			abort.abort(new Error(`no answer within ${readTimeoutMs} ms`));
		});
		try {
			const response = await fetch(url, {signal: abort.signal});
			if (!response.ok) {
				throw new Error(`status ${response.status}`);
			}

			return await response.text();
		} finally {
			timeout.cancel();
		}
	}
}
