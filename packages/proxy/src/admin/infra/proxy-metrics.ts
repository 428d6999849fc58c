import {
	Access, WorkClass, type ExecuteRequest, type ExecuteResponse,
} from '@dogwoodthread/protocol';
import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type OwnerEvents, type OwnerRegistry} from '../../owner/index.js';

const workClassLabels: Record<WorkClass, string> = {
	[WorkClass.UNSPECIFIED]: 'unspecified',
	[WorkClass.CRITICAL]: 'critical',
	[WorkClass.SHORT]: 'short',
	[WorkClass.BROWSE]: 'browse',
	[WorkClass.LONG]: 'long',
};

const outcomeLabels = {done: 'done', notRun: 'not_run', unknown: 'unknown'} as const;

/** Databases that get their own label; the others share one, which bounds the number of time series. */
const maxDatabaseLabels = 50;
/** Label of the other databases, and of those that do not exist. No database has this name. */
const otherDatabasesLabel = '*';

/** Metrics of the proxy. There are at most 51 database labels x 5 work classes x the outcome codes. */
export class ProxyMetrics implements OwnerEvents {
	readonly registry = new Registry();
	readonly #labelledDatabases = new Set<string>();
	readonly #requests: Counter<'database' | 'work_class' | 'outcome' | 'code'>;
	readonly #durations: Histogram<'database' | 'work_class' | 'outcome'>;
	readonly #reads: Counter<'database' | 'served_by'>;
	readonly #promotions: Counter<'database' | 'result'>;
	readonly #promotionSeconds: Gauge<'database' | 'phase'>;

	constructor() {
		const registers = [this.registry];
		collectDefaultMetrics({register: this.registry});
		this.#requests = new Counter({
			name: 'dogwood_requests_total', help: 'Requests of callers by outcome', labelNames: ['database', 'work_class', 'outcome', 'code'], registers,
		});
		this.#durations = new Histogram({
			name: 'dogwood_request_duration_seconds',
			help: 'Time from a request of a caller to its answer',
			labelNames: ['database', 'work_class', 'outcome'],
			buckets: [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10],
			registers,
		});
		this.#reads = new Counter({
			name: 'dogwood_reads_total', help: 'Reads by kind of instance that served them', labelNames: ['database', 'served_by'], registers,
		});
		this.#promotions = new Counter({
			name: 'dogwood_promotions_total', help: 'Promotions run by this proxy, by result', labelNames: ['database', 'result'], registers,
		});
		this.#promotionSeconds = new Gauge({
			name: 'dogwood_last_promotion_seconds', help: 'Parts of the last promotion', labelNames: ['database', 'phase'], registers,
		});
	}

	/** Gives a database that exists a label, if there is one left. Callers may name others in their requests. */
	registerDatabase(database: string): void {
		if (this.#labelledDatabases.size < maxDatabaseLabels) {
			this.#labelledDatabases.add(database);
		}
	}

	/** Registers gauges whose values are read from the owners whenever metrics are scraped. */
	registerOwnerGauges(owners: OwnerRegistry): void {
		const registers = [this.registry];
		const registerGauge = (name: string, help: string, read: (owner: ReturnType<OwnerRegistry['all']>[number]) => number) => {
			const gauge = new Gauge({
				name, help, labelNames: ['database'], registers,
				collect: () => {
					gauge.reset();
					for (const owner of owners.all()) {
						gauge.set({database: this.#databaseLabel(owner.buildStatus().database)}, read(owner));
					}
				},
			});
		};

		registerGauge('dogwood_owner_acting', '1 while this proxy acts for the database', owner => owner.isActing ? 1 : 0);
		registerGauge('dogwood_primary_missing', '1 while no serving primary is known', owner => owner.state.primary ? 0 : 1);
		registerGauge('dogwood_term', 'Term of the group', owner => owner.state.tracker.term);
		registerGauge('dogwood_queued_requests', 'Requests in admission queues', owner =>
			[...owner.state.instances.values()].map(({admission}) => admission.queued).reduce((a, b) => a + b, 0));
	}

	recordRequest(request: ExecuteRequest, {outcome}: ExecuteResponse, durationMs: number): void {
		const database = this.#databaseLabel(request.database);
		const workClass = workClassLabels[request.workClass] ?? 'unspecified';
		const outcomeLabel = outcomeLabels[outcome.case ?? 'unknown'];
		const code = outcome.case === 'notRun' || outcome.case === 'unknown' ? outcome.value.code : 'none';
		this.#requests.inc({
			database, work_class: workClass, outcome: outcomeLabel, code,
		});
		this.#durations.observe({database, work_class: workClass, outcome: outcomeLabel}, durationMs / 1000);
		if (outcome.case === 'done' && request.access === Access.READ) {
			this.#reads.inc({database, served_by: outcome.value.byReplica ? 'replica' : 'primary'});
		}
	}

	recordPromotion(report: Parameters<OwnerEvents['recordPromotion']>[0]): void {
		const database = this.#databaseLabel(report.database);
		this.#promotions.inc({database, result: 'promoted'});
		for (const phase of (['detection', 'agreement', 'fencing', 'promotion'] as const)) {
			this.#promotionSeconds.set({database, phase}, report[`${phase}Ms`] / 1000);
		}
	}

	recordPromotionFailure(database: string, kind: string): void {
		this.#promotions.inc({database: this.#databaseLabel(database), result: kind});
	}

	#databaseLabel(database: string): string {
		return this.#labelledDatabases.has(database) ? database : otherDatabasesLabel;
	}
}
