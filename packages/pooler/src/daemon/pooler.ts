import {
	type Platform, type RandomSource, RetryBudget, type TimerService,
} from '@dogwoodthread/coordination';
import {
	Catalog, type CatalogSource, type Endpoint, type ServiceLimits,
} from '../catalog/index.js';
import {type EndpointConnector} from '../endpoint/index.js';
import {
	PromotionLease, FailoverDriver, LostWriteRecovery, type PromotionService, PromotionRecordStore,
} from '../failover/index.js';
import {
	Fleet, type FleetHost, type HolderPlan, planHolders,
} from '../fleet/index.js';
import {
	FallbackExecutor, ForwardService, HolderLink, type PeerConnector, type PeerLink, type ForwardReply, type ForwardRequest, RemoteExecutor,
} from '../forward/index.js';
import {ClockDiscontinuityDetector, Group, Member} from '../group/index.js';
import {type EventLog, type PoolerMetrics} from '../observability/index.js';
import {ConnectionPool} from '../pool/index.js';
import {type Executor, LocalExecutor, Session} from '../session/index.js';
import {SessionMemoryBudget, type SessionMemoryBudgetOptions} from '../session-memory/index.js';
import {type StoreHistory} from '../store-history/index.js';

export type PoolerOptions = {
	self: FleetHost;
	catalogSource: CatalogSource;
	connector: EndpointConnector;
	platform: Platform;
	history: StoreHistory;
	promotionService: PromotionService;
	peerConnector: PeerConnector;
	/** Time after an acknowledged notice that an endpoint is leaving, at the end of which no statement may reach it any more. */
	drainBoundMs: number;
	/** Limits on what sessions keep, in bytes. */
	sessionMemory: Pick<SessionMemoryBudgetOptions, 'sessionLimitBytes' | 'processLimitBytes'>;
	random: RandomSource;
	timers: TimerService;
	events: EventLog;
	metrics: PoolerMetrics;
};

/** Fraction of the reads that may be hedged: sent a second time because the first is slow. */
const hedgeRatio = 0.05;
const hedgeBurst = 10;
/**
 * Wires the components of one process between its listeners and its adapters: catalog, fleet, connection pools,
 * forwarding, failover and sessions.
 */
export class Pooler {
	readonly catalog = new Catalog();
	readonly #groups = new Map<string, Group>();
	readonly #plans = new Map<string, HolderPlan>();
	readonly #executors = new Map<string, {local?: LocalExecutor; fallback?: FallbackExecutor; remote: RemoteExecutor}>();
	readonly #links = new Map<string, HolderLink>();
	readonly #forwardService: ForwardService;
	readonly #sessionMemory: SessionMemoryBudget;
	#lastTransactionNumber = 0;
	readonly #clock: ClockDiscontinuityDetector;
	readonly #promotionRecords: PromotionRecordStore;
	readonly #fleet: Fleet;
	readonly #failover: FailoverDriver;
	readonly #lostWriteRecovery: LostWriteRecovery;
	readonly #hedgeBudget = new RetryBudget({ratio: hedgeRatio, burst: hedgeBurst});

	constructor(private readonly options: PoolerOptions) {
		const {
			timers, events, platform, history, promotionService, self, metrics, random, sessionMemory,
		} = options;
		this.#clock = new ClockDiscontinuityDetector(timers, jumpMs => {
			events.write('clock-discontinuity', {jumpMs: Math.round(jumpMs)});
		});
		this.#fleet = new Fleet({
			platform, history, timers, events, random, self, onRefresh: () => {
				this.#reconcileServices();
			},
		});
		this.#sessionMemory = new SessionMemoryBudget({...sessionMemory, events, metrics});
		this.#forwardService = new ForwardService({
			memory: this.#sessionMemory,
			timers,
			events,
			clock: this.#clock,
			transactionIdleMs: () => this.catalog.transactionIdleMs,
			executorOf: service => this.#executors.get(service)?.local,
		});
		this.#promotionRecords = new PromotionRecordStore({platform, history, timers});
		const lease = new PromotionLease({
			platform, history, timers, clock: this.#clock, events, hostId: self.hostId,
		});
		this.#lostWriteRecovery = new LostWriteRecovery({
			history, lease, promotionRecords: this.#promotionRecords, timers, events, random, groups: () => [...this.#groups.values()],
		});
		this.#failover = new FailoverDriver({
			lease,
			promotionService,
			promotionRecords: this.#promotionRecords,
			timers,
			events,
			hostId: self.hostId,
			groups: () => [...this.#groups.values()],
		});
		this.catalog.subscribe(() => {
			metrics.setConfigurationVersion(this.catalog.version);
			this.#reconcileServices();
		});
		metrics.registerCatalogAge(part => this.catalog.ageMs(part, timers.nowMs()));
	}

	/**
	 * Whether statements can be served: the catalog and the fleet are loaded and, if this host holds connections, at
	 * least one endpoint of any service has reported its status and commits of the service can be confirmed. Not one of
	 * each service: a service whose endpoints are all down must not take the hosts out of rotation for the others.
	 */
	get isReady(): boolean {
		const isHolder = this.#groups.size > 0;
		return this.canServe && (!isHolder || [...this.#groups.values()].some(({members, canConfirmCommits}) =>
			canConfirmCommits && [...members.values()].some(({status}) => status !== undefined)));
	}

	/** Whether the catalog and the fleet are loaded, so that every service has holders to run its statements. */
	get canServe(): boolean {
		return this.#plans.size > 0;
	}

	start(): void {
		this.options.catalogSource.start(this.catalog);
		this.#fleet.start();
		this.#failover.start();
		this.#lostWriteRecovery.start();
	}

	/** Stops failover duties and releases this host's share of the connections; statements in progress continue. */
	async beginShutdown(): Promise<void> {
		this.#failover.stop();
		this.#lostWriteRecovery.stop();
		this.#forwardService.announceLeaving();
		await this.#fleet.deregister();
	}

	/** Serves the statements that another host forwards over a link. */
	acceptPeer(link: PeerLink<ForwardReply, ForwardRequest>): void {
		this.#forwardService.accept(link);
	}

	stop(): void {
		this.options.catalogSource.stop();
		this.#forwardService.close();
		for (const link of this.#links.values()) {
			link.close();
		}

		for (const group of this.#groups.values()) {
			group.close();
		}
	}

	/** `endIfIdle` ends the client's connection if it is idle outside a transaction, and returns whether it did. */
	openSession(database: string, endIfIdle?: () => boolean): Session {
		const {timers, events, metrics, self} = this.options;
		return new Session(database, {
			timers,
			events,
			metrics,
			failureDomain: self.failureDomain,
			catalog: this.catalog,
			memory: this.#sessionMemory,
			endIfIdle,
			executorOf: service => this.#chooseExecutor(service),
		});
	}

	#chooseExecutor(service: string): Executor | undefined {
		const executors = this.#executors.get(service);
		return executors?.fallback ?? executors?.remote;
	}

	/** Applies the current catalog and fleet: plans the holders of each service, and updates the groups and executors. */
	#reconcileServices(): void {
		const {catalog} = this;
		if (!catalog.isLoaded || !this.#fleet.isLoaded) {
			return;
		}

		const limits = new Map(catalog.services.map(service => [service.service, service]));
		for (const service of [...this.#plans.keys()].filter(name => !limits.has(name))) {
			this.#removeGroup(service);
			this.#plans.delete(service);
			this.#executors.delete(service);
		}

		for (const [service, serviceLimits] of limits) {
			const plan = planHolders(service, this.#fleet.hosts, serviceLimits.maxConnections);
			this.#setPlan(service, plan);
			const isHolder = plan.isEveryHost || plan.holders.some(({hostId}) => hostId === this.options.self.hostId);
			if (isHolder) {
				const group = this.#groups.get(service) ?? this.#addGroup(service, serviceLimits);
				group.update(catalog.endpoints.filter(endpoint => endpoint.service === service), serviceLimits, catalog.endpointsChangedAfterMs);
			} else if (this.#groups.get(service)?.isUnused) {
				this.#removeGroup(service);
			}

			this.#updateExecutors(service, isHolder);
		}
	}

	#setPlan(service: string, plan: HolderPlan): void {
		const previous = this.#plans.get(service);
		this.#plans.set(service, plan);
		if (previous?.share.guaranteed !== plan.share.guaranteed || previous.holders.length !== plan.holders.length) {
			this.options.events.write('connection-share-changed', {
				service, hosts: this.#fleet.hosts.length, holders: plan.holders.length, isEveryHost: plan.isEveryHost, connections: plan.share.guaranteed,
			});
		}
	}

	#updateExecutors(service: string, isHolder: boolean): void {
		const group = this.#groups.get(service);
		const existing = this.#executors.get(service);
		const remote = existing?.remote ?? this.#createRemoteExecutor(service);
		const local = isHolder && group ? existing?.local ?? new LocalExecutor(group, this.#operationContext()) : undefined;
		const {timers, events} = this.options;
		const fallback = local && new FallbackExecutor({
			service, local, remote, timers, events,
		});
		this.#executors.set(service, {local, fallback, remote});
	}

	#createRemoteExecutor(service: string): RemoteExecutor {
		const {timers, random, self} = this.options;
		return new RemoteExecutor({
			service, timers, random, failureDomain: self.failureDomain,
			holders: () => this.#plans.get(service)?.holders.filter(({hostId}) => hostId !== self.hostId) ?? [],
			linkTo: host => this.#getLink(host),
			nextTransactionNumber: () => {
				this.#lastTransactionNumber += 1;
				return this.#lastTransactionNumber;
			},
		});
	}

	/** Links are kept by address. A restarted host may have a new address; its old link then stays unused. */
	#getLink({address}: FleetHost): HolderLink {
		const existing = this.#links.get(address);
		if (existing) {
			return existing;
		}

		const link = new HolderLink({address, connector: this.options.peerConnector, timers: this.options.timers});
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
			timers, events, metrics, failureDomain: self.failureDomain, hedgeBudget: this.#hedgeBudget,
		};
	}

	#addGroup(service: string, limits: ServiceLimits): Group {
		const {timers, events, connector, drainBoundMs} = this.options;
		const group: Group = new Group({
			service, limits, timers, clock: this.#clock, events, drainBoundMs,
			readAnnouncedTerm: async () => this.#promotionRecords.readTerm(service),
			random: this.options.random,
			voterRecord: this.#promotionRecords.votersOf(service),
			listAgeMs: () => this.catalog.ageMs('endpoints', timers.nowMs()) ?? Number.POSITIVE_INFINITY,
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
			share: () => this.#plans.get(endpoint.service)?.share ?? {guaranteed: 0, maxConnections: limits().maxConnections},
			onConnectAttempt(error, durationMs) {
				metrics.countEvent(error ? `connect-${error.kind}` : 'connect-ok');
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
