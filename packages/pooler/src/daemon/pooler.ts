import {
	type LogPosition, type Platform, type RandomSource, RetryBudget, type TimerService,
} from '@dogwoodthread/coordination';
import {
	Catalog, type CatalogSource, type Endpoint, type ServiceLimits,
} from '../catalog/index.js';
import {type EndpointConnector} from '../endpoint/index.js';
import {
	DutyLease, FailoverDriver, type PromotionService, TermAnnouncements,
} from '../failover/index.js';
import {
	Fleet, type FleetHost, type HolderPlan, planHolders,
} from '../fleet/index.js';
import {
	ForwardService, HolderLink, type PeerConnector, type PeerLink, type ForwardReply, type ForwardRequest, RemoteExecutor,
} from '../forward/index.js';
import {ContinuityClock, Group, Member} from '../group/index.js';
import {type EventLog, type PoolerMetrics} from '../observability/index.js';
import {ConnectionPool} from '../pool/index.js';
import {type Executor, LocalExecutor, Session} from '../session/index.js';

export type PoolerOptions = {
	self: FleetHost;
	source: CatalogSource;
	connector: EndpointConnector;
	platform: Platform;
	promotions: PromotionService;
	peers: PeerConnector;
	/** Time from the acknowledgement that an endpoint leaves until nothing may reach it, in ms. */
	drainBoundMs: number;
	random: RandomSource;
	timers: TimerService;
	events: EventLog;
	metrics: PoolerMetrics;
};

/** Share of the reads that may be sent a second time because the first is slow. */
const hedgeRatio = 0.05;
const hedgeBurst = 10;
/** Hosts note the departure of a member within this time, in ms, so that one of them writes it first. */
const departureSpreadMs = 100;
const departureRetryMs = 200;
/** An outage of the store longer than 30 s is left to the other hosts. */
const departureTries = 150;

/** Everything of one process between its listeners and its adapters. */
export class Pooler {
	readonly catalog = new Catalog();
	readonly #groups = new Map<string, Group>();
	readonly #plans = new Map<string, HolderPlan>();
	readonly #executors = new Map<string, {local?: LocalExecutor; remote: RemoteExecutor}>();
	readonly #links = new Map<string, HolderLink>();
	readonly #forwards: ForwardService;
	#forwardedTransactions = 0;
	readonly #clock: ContinuityClock;
	readonly #announcements: TermAnnouncements;
	readonly #fleet: Fleet;
	readonly #failover: FailoverDriver;
	readonly #hedges = new RetryBudget({ratio: hedgeRatio, burst: hedgeBurst});

	constructor(private readonly options: PoolerOptions) {
		const {
			timers, events, platform, promotions, self, metrics,
		} = options;
		this.#clock = new ContinuityClock(timers, jumpMs => {
			events.write('clock-discontinuity', {jumpMs: Math.round(jumpMs)});
		});
		this.#fleet = new Fleet({
			platform, timers, events, self, onRefresh: () => {
				this.#updateGroups();
			},
		});
		this.#forwards = new ForwardService({
			timers,
			events,
			clock: this.#clock,
			transactionIdleMs: () => this.catalog.transactionIdleMs,
			executorOf: service => this.#executors.get(service)?.local,
		});
		this.#announcements = new TermAnnouncements(platform);
		this.#failover = new FailoverDriver({
			lease: new DutyLease({
				platform, timers, clock: this.#clock, events, hostId: self.hostId,
			}),
			promotions,
			announcements: this.#announcements,
			timers,
			events,
			hostId: self.hostId,
			groups: () => [...this.#groups.values()],
		});
		this.catalog.subscribe(() => {
			metrics.configurationVersion(this.catalog.version);
			this.#updateGroups();
		});
		metrics.catalogAge(part => this.catalog.ageMs(part, timers.nowMs()));
	}

	/** Whether statements can be served: the catalog is known, and some endpoint of each service in use answers. */
	get isReady(): boolean {
		const isHolder = this.#groups.size > 0;
		return this.canServe && (!isHolder || [...this.#groups.values()].some(({members}) =>
			[...members.values()].some(({status}) => status !== undefined)));
	}

	/** Whether the catalog and the fleet are known, so that each statement has somewhere to go. */
	get canServe(): boolean {
		return this.#plans.size > 0;
	}

	start(): void {
		this.options.source.start(this.catalog);
		this.#fleet.start();
		this.#failover.start();
	}

	/** Stops duties and gives up what other hosts may use; statements under way go on. */
	async leave(): Promise<void> {
		this.#failover.stop();
		this.#forwards.leave();
		await this.#fleet.leave();
	}

	/** Serves statements that another host forwards. */
	acceptPeer(link: PeerLink<ForwardReply, ForwardRequest>): void {
		this.#forwards.accept(link);
	}

	stop(): void {
		this.options.source.stop();
		this.#forwards.close();
		for (const link of this.#links.values()) {
			link.close();
		}

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
			executorOf: service => this.#executorOf(service),
		});
	}

	#executorOf(service: string): Executor | undefined {
		const executors = this.#executors.get(service);
		return executors?.local ?? executors?.remote;
	}

	/** Follows the catalog and the fleet: which services this host holds connections to, and who holds the others. */
	#updateGroups(): void {
		const {catalog} = this;
		if (!catalog.isLoaded || !this.#fleet.isLoaded) {
			return;
		}

		const limits = new Map(catalog.services.map(service => [service.service, service]));
		for (const service of [...this.#plans.keys()].filter(known => !limits.has(known))) {
			this.#removeGroup(service);
			this.#plans.delete(service);
			this.#executors.delete(service);
		}

		for (const [service, serviceLimits] of limits) {
			const plan = planHolders(service, this.#fleet.hosts, serviceLimits.maxConnections);
			this.#notePlan(service, plan);
			const isHolder = plan.isEveryHost || plan.holders.some(({hostId}) => hostId === this.options.self.hostId);
			if (isHolder) {
				const group = this.#groups.get(service) ?? this.#addGroup(service, serviceLimits);
				group.update(catalog.endpoints.filter(endpoint => endpoint.service === service), serviceLimits, catalog.endpointsChangedAfterMs);
			} else if (this.#groups.get(service)?.isUnused) {
				this.#removeGroup(service);
			}

			this.#setExecutors(service, isHolder);
		}
	}

	#notePlan(service: string, plan: HolderPlan): void {
		const previous = this.#plans.get(service);
		this.#plans.set(service, plan);
		if (previous?.share.guaranteed !== plan.share.guaranteed || previous.holders.length !== plan.holders.length) {
			this.options.events.write('connection-share-changed', {
				service, hosts: this.#fleet.hosts.length, holders: plan.holders.length, isEveryHost: plan.isEveryHost, connections: plan.share.guaranteed,
			});
		}
	}

	#setExecutors(service: string, isHolder: boolean): void {
		const group = this.#groups.get(service);
		const known = this.#executors.get(service);
		const remote = known?.remote ?? this.#createRemote(service);
		const local = isHolder && group ? known?.local ?? new LocalExecutor(group, this.#operationContext()) : undefined;
		this.#executors.set(service, {local, remote});
	}

	#createRemote(service: string): RemoteExecutor {
		const {timers, random, self} = this.options;
		return new RemoteExecutor({
			service, timers, random, failureDomain: self.failureDomain,
			holders: () => this.#plans.get(service)?.holders.filter(({hostId}) => hostId !== self.hostId) ?? [],
			linkTo: host => this.#linkTo(host),
			nextTransaction: () => {
				this.#forwardedTransactions += 1;
				return this.#forwardedTransactions;
			},
		});
	}

	/** A restarted host may have another address; its old link then stays unused. */
	#linkTo({address}: FleetHost): HolderLink {
		const known = this.#links.get(address);
		if (known) {
			return known;
		}

		const link = new HolderLink({address, connector: this.options.peers, timers: this.options.timers});
		this.#links.set(address, link);
		return link;
	}

	#removeGroup(service: string): void {
		this.#groups.get(service)?.close();
		this.#groups.delete(service);
	}

	#operationContext() {
		const {timers, events, metrics, self} = this.options;
		return {
			timers, events, metrics, failureDomain: self.failureDomain, hedgeBudget: this.#hedges,
		};
	}

	#addGroup(service: string, limits: ServiceLimits): Group {
		const {timers, events, connector, drainBoundMs} = this.options;
		const group: Group = new Group({
			service, limits, timers, clock: this.#clock, events, drainBoundMs,
			announcedTerm: async () => this.#announcements.term(service),
			departedFloor: async () => this.#announcements.floor(service),
			onDeparture: (memberId, position) => {
				void this.#noteDeparture(service, memberId, position);
			},
			createMember: endpoint => new Member({
				endpoint, timers, connector, pool: this.#createPool(endpoint, () => group.limits),
			}),
		});
		this.#groups.set(service, group);
		return group;
	}

	/** Repeats until the store has it; another host may write it first. */
	async #noteDeparture(service: string, memberId: string, position: LogPosition): Promise<void> {
		const {timers, random, events} = this.options;
		const waitMs = random() * departureSpreadMs;
		await timers.sleep(waitMs);
		for (let tries = 1; tries <= departureTries; tries += 1) {
			if (await this.#announcements.noteDeparture(service, memberId, position)) {
				events.write('departure-noted', {
					service, endpointId: memberId, floor: `${position.term}.${position.index}`, tries,
				});
				return;
			}

			await timers.sleep(departureRetryMs);
		}

		events.write('departure-not-noted', {service, endpointId: memberId, floor: `${position.term}.${position.index}`});
	}

	#createPool(endpoint: Endpoint, limits: () => ServiceLimits): ConnectionPool {
		const {timers, connector, metrics, events} = this.options;
		let isReachable = true;
		return new ConnectionPool({
			endpoint,
			connector,
			timers,
			share: () => this.#plans.get(endpoint.service)?.share ?? {guaranteed: 0, maxConnections: limits().maxConnections},
			onConnectAttempt(error, durationMs) {
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
