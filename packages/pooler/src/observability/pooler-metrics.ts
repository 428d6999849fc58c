import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {catalogParts, type CatalogPart} from '../catalog/index.js';

/** Upper bounds of latency buckets, in seconds; they cover statement timeouts of up to 3 s. */
const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/** Counters and histograms of one process. Labels have few values; databases and ids are not labels. */
export class PoolerMetrics {
	readonly registry = new Registry();
	readonly #requests = new Counter({
		name: 'dogwood_requests_total', help: 'Statements of clients by consistency and outcome', labelNames: ['consistency', 'outcome'], registers: [this.registry],
	});

	readonly #latency = new Histogram({
		name: 'dogwood_request_seconds', help: 'Time from a statement to its answer', labelNames: ['consistency', 'stage'], buckets: latencyBucketsSeconds, registers: [this.registry],
	});

	readonly #events = new Counter({
		name: 'dogwood_events_total', help: 'Changes of belief, connections and control actions by event', labelNames: ['event'], registers: [this.registry],
	});

	readonly #configurationVersion = new Gauge({
		name: 'dogwood_configuration_version', help: 'Version of the configuration in force', registers: [this.registry],
	});

	request(consistency: string, outcome: string, totalMs: number): void {
		this.#requests.inc({consistency, outcome});
		this.#latency.observe({consistency, stage: 'total'}, totalMs / 1000);
	}

	/** Time that a statement spent in one stage: waiting for a connection, or at the endpoint. */
	stage(consistency: string, stage: 'waiting' | 'endpoint', durationMs: number): void {
		this.#latency.observe({consistency, stage}, durationMs / 1000);
	}

	configurationVersion(version: number): void {
		this.#configurationVersion.set(version);
	}

	/** Reports the age of a part of the catalog, in ms, whenever the metrics are read. */
	catalogAge(ageMs: (part: CatalogPart) => number | undefined): void {
		const gauge = new Gauge<'part'>({
			name: 'dogwood_catalog_age_seconds', help: 'Time since the store last confirmed a part of the catalog', labelNames: ['part'], registers: [this.registry],
			collect() {
				for (const part of catalogParts) {
					const age = ageMs(part);
					if (age !== undefined) {
						gauge.set({part}, age / 1000);
					}
				}
			},
		});
	}

	event(event: string, count = 1): void {
		this.#events.inc({event}, count);
	}
}
