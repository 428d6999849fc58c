/**
 * - `primary`: reads see every acknowledged commit.
 * - `bounded-staleness`: reads see every commit acknowledged longer ago than the route's limit.
 * - `read-your-writes`: as `bounded-staleness`, and every commit of the same session.
 */
export type Consistency = 'primary' | 'bounded-staleness' | 'read-your-writes';

/** Where statements for one database name go and what they may expect. */
export type Route = {
	database: string;
	service: string;
	consistency: Consistency;
	/** Longest time of one statement, in ms. */
	statementTimeoutMs: number;
	/** Latency objective of a whole operation, in ms. */
	latencyObjectiveMs: number;
	/** 0 goes first. */
	priority: number;
	/** Largest age of the data that a read may see, in ms; 0 on `primary` routes. */
	maxStalenessMs: number;
};

export type ServiceLimits = {
	service: string;
	/** Connections that one endpoint takes from all hosts together. */
	maxConnections: number;
	/** Replicas that must have received a commit before it is acknowledged. */
	syncReplicas: number;
};

/** One version of what the operators configured. */
export type Configuration = {
	version: number;
	routes: Route[];
	services: ServiceLimits[];
	/** A transaction without a statement for this long may be ended, in ms. */
	transactionIdleMs: number;
};

/** One database instance as it registered itself. */
export type Endpoint = {
	endpointId: string;
	service: string;
	/** `ip:port`. */
	address: string;
	failureDomain: string;
	/** Statements that run at the same time. */
	slots: number;
	state: 'ready' | 'draining';
	/** Role in the endpoint's own view. */
	role: 'primary' | 'replica';
	/** Start of the instance, Unix time in ms; 0 if it does not say. */
	bornAtMs: number;
};

/** Parts of the catalog, each followed by a watch of its own. */
export const catalogParts = ['configuration', 'endpoints'] as const;
export type CatalogPart = typeof catalogParts[number];

/** Source of the catalog; each callback gets the whole, whenever something changed. */
export type CatalogSource = {
	start(listener: CatalogListener): void;
	stop(): void;
};

export type CatalogListener = {
	/** Gives false if a later version is in force, which then stays. */
	onConfiguration(configuration: Configuration): boolean;
	onEndpoints(endpoints: readonly Endpoint[]): void;
	/** A part was current at `atMs`, in steady time, whether it had changed or not. Called after its changes were taken over. */
	onConfirmed(part: CatalogPart, atMs: number): void;
};
