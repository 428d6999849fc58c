import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {catalogParts, type CatalogPart} from '../catalog/index.js';

/** Upper bounds of the latency buckets. They cover statement timeouts of up to 3 s. */
const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/** Metrics of one process. To bound the number of time series, databases and ids are not used as labels. */
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

	readonly #sessionMemoryRefusals = new Counter({
		name: 'dogwood_session_memory_refusals_total', help: 'Statements refused and idle sessions ended because of the limits on session memory', labelNames: ['outcome'], registers: [this.registry],
	});

	recordRequest(consistency: string, outcome: string, totalMs: number): void {
		this.#requests.inc({consistency, outcome});
		this.#latency.observe({consistency, stage: 'total'}, totalMs / 1000);
	}

	/** Records the time that a statement spent waiting for a connection or running at the endpoint. */
	recordStageDuration(consistency: string, stage: 'waiting' | 'endpoint', durationMs: number): void {
		this.#latency.observe({consistency, stage}, durationMs / 1000);
	}

	setConfigurationVersion(version: number): void {
		this.#configurationVersion.set(version);
	}

	/** Registers a gauge that calls `ageMs` for each part of the catalog whenever the metrics are collected. */
	registerCatalogAge(ageMs: (part: CatalogPart) => number | undefined): void {
		const gauge = new Gauge<'part'>({
			name: 'dogwood_catalog_age_seconds', help: 'Time since the store last confirmed a part of the catalog', labelNames: ['part'], registers: [this.registry],
			collect() {
				for (const part of catalogParts) {
					const partAgeMs = ageMs(part);
					if (partAgeMs !== undefined) {
						gauge.set({part}, partAgeMs / 1000);
					}
				}
			},
		});
	}

	/** Registers a gauge that calls `heldBytes` whenever the metrics are collected. */
	registerSessionMemory(heldBytes: () => number): void {
		const gauge = new Gauge({
			name: 'dogwood_session_memory_bytes', help: 'Session values, prepared statements and transaction ids that sessions keep', registers: [this.registry],
			collect() {
				gauge.set(heldBytes());
			},
		});
	}

	countSessionMemoryRefusal(outcome: string): void {
		this.#sessionMemoryRefusals.inc({outcome});
	}

	countEvent(event: string, count = 1): void {
		this.#events.inc({event}, count);
	}
}
