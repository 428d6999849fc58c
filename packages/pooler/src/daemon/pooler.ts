import {
	type Platform, RetryBudget, type TimerService,
} from '@dogwoodthread/coordination';
import {Catalog, type CatalogSource, type Endpoint, type ServiceLimits} from '../catalog/index.js';
import {type EndpointConnector} from '../endpoint/index.js';
import {DutyLease, FailoverDriver, type PromotionService, TermAnnouncements} from '../failover/index.js';
import {connectionShare, Fleet, type FleetHost} from '../fleet/index.js';
import {ContinuityClock, Group, Member} from '../group/index.js';
import {type EventLog, type PoolerMetrics} from '../observability/index.js';
import {ConnectionPool} from '../pool/index.js';
import {Session} from '../session/index.js';

export type PoolerOptions = {
	self: FleetHost;
	source: CatalogSource;
	connector: EndpointConnector;
	platform: Platform;
	promotions: PromotionService;
	timers: TimerService;
	events: EventLog;
	metrics: PoolerMetrics;
};

/** Share of the reads that may be sent a second time because the first is slow. */
const hedgeRatio = 0.05;
const hedgeBurst = 10;

/** Everything of one process between its listeners and its adapters. */
export class Pooler {
	readonly catalog = new Catalog();
	readonly #groups = new Map<string, Group>();
	readonly #clock: ContinuityClock;
	readonly #announcements: TermAnnouncements;
	readonly #fleet: Fleet;
	readonly #failover: FailoverDriver;
	readonly #hedges = new RetryBudget({ratio: hedgeRatio, burst: hedgeBurst});

	constructor(private readonly options: PoolerOptions) {
		const {timers, events, platform, promotions, self} = options;
		this.#clock = new ContinuityClock(timers, jumpMs => {
			events.write('clock-discontinuity', {jumpMs: Math.round(jumpMs)});
		});
		this.#fleet = new Fleet({platform, timers, events, self});
		this.#announcements = new TermAnnouncements(platform);
		this.#failover = new FailoverDriver({
			lease: new DutyLease({platform, timers, clock: this.#clock, events, hostId: self.hostId}),
			promotions,
			announcements: this.#announcements,
			timers,
			events,
			hostId: self.hostId,
			groups: () => [...this.#groups.values()],
		});
		this.catalog.subscribe(() => {
			this.#updateGroups();
		});
	}

	/** Whether statements can be served: the catalog is known, and some endpoint of each service in use answers. */
	get isReady(): boolean {
		return this.catalog.isLoaded && [...this.#groups.values()].some(({members}) =>
			[...members.values()].some(({status}) => status !== undefined));
	}

	start(): void {
		this.options.source.start(this.catalog);
		this.#fleet.start();
		this.#failover.start();
	}

	/** Stops duties and gives up what other hosts may use; statements under way go on. */
	async leave(): Promise<void> {
		this.#failover.stop();
		await this.#fleet.leave();
	}

	stop(): void {
		this.options.source.stop();
		for (const group of this.#groups.values()) {
			group.close();
		}
	}

	openSession(database: string): Session {
		const {timers, events, metrics, self} = this.options;
		return new Session(database, {
			timers,
			events,
			metrics,
			failureDomain: self.failureDomain,
			catalog: this.catalog,
			groupOf: service => this.#groups.get(service),
			hedges: this.#hedges,
		});
	}

	#updateGroups(): void {
		const {catalog} = this;
		if (!catalog.isLoaded) {
			return;
		}

		const limits = new Map(catalog.services.map(service => [service.service, service]));
		for (const [service, group] of this.#groups) {
			if (!limits.has(service)) {
				group.close();
				this.#groups.delete(service);
			}
		}

		for (const [service, serviceLimits] of limits) {
			const listed = catalog.endpoints.filter(endpoint => endpoint.service === service);
			const group = this.#groups.get(service) ?? this.#addGroup(service, serviceLimits);
			group.update(listed, serviceLimits);
		}
	}

	#addGroup(service: string, limits: ServiceLimits): Group {
		const {timers, events, connector} = this.options;
		const group: Group = new Group({
			service, limits, timers, clock: this.#clock, events,
			announcedTerm: async () => this.#announcements.read(service),
			createMember: endpoint => new Member({
				endpoint, timers, connector, pool: this.#createPool(endpoint, () => group.limits),
			}),
		});
		this.#groups.set(service, group);
		return group;
	}

	#createPool(endpoint: Endpoint, limits: () => ServiceLimits): ConnectionPool {
		const {timers, connector, metrics, events} = this.options;
		let isReachable = true;
		return new ConnectionPool({
			endpoint,
			connector,
			timers,
			share: () => connectionShare(limits().maxConnections, this.#fleet.size),
			onConnect(error, durationMs) {
				metrics.event(error ? `connect-${error.kind}` : 'connect-ok');
				if (isReachable === Boolean(error)) {
					isReachable = !error;
					events.write(error ? 'endpoint-unreachable' : 'endpoint-reachable', {
						endpointId: endpoint.endpointId, service: endpoint.service, reason: error?.kind, durationMs: Math.round(durationMs),
					});
				}
			},
		});
	}
}
