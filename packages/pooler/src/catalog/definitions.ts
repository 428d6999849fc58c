/**
 * - `primary`: reads see every acknowledged commit.
 * - `bounded-staleness`: reads see every commit acknowledged longer ago than the route's limit.
 * - `read-your-writes`: as `bounded-staleness`, and every commit of the same session.
 */
export type Consistency = 'primary' | 'bounded-staleness' | 'read-your-writes';

/** Service and service level for the statements of one database name. */
export type Route = {
	database: string;
	service: string;
	consistency: Consistency;
	/** Timeout of one statement, in ms. */
	statementTimeoutMs: number;
	/** Latency objective of a whole operation, in ms. */
	latencyObjectiveMs: number;
	/** Routes with a lower number are served first; 0 is the first. */
	priority: number;
	/** Maximum age of the data that a read may see, in ms; 0 on `primary` routes. */
	maxStalenessMs: number;
};

export type ServiceLimits = {
	service: string;
	/** Maximum number of connections of all hosts together to one endpoint. */
	maxConnections: number;
	/** Number of replicas that must have received a commit before it is acknowledged. */
	syncReplicas: number;
};

/** One version of the configuration set by the operators. */
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
	/** Number of statements that the instance runs concurrently. */
	slots: number;
	state: 'ready' | 'draining';
	/** Role that the instance reports for itself. */
	role: 'primary' | 'replica';
	/** Start of the instance, Unix time in ms; 0 if the instance does not report it. */
	startedUnixMs: number;
};

/** Parts of the catalog, each followed by a watch of its own. */
export const catalogParts = ['configuration', 'endpoints'] as const;
export type CatalogPart = typeof catalogParts[number];

/** Source of the catalog; after each change the callback for the changed part gets all of it. */
export type CatalogSource = {
	start(listener: CatalogListener): void;
	stop(): void;
};

export type CatalogListener = {
	/** Returns false, and changes nothing, if a later version is already in force. */
	onConfiguration(configuration: Configuration): boolean;
	onEndpoints(endpoints: readonly Endpoint[]): void;
	/** The part was current at the monotonic time `atMs`, whether or not it had changed. Called after its changes have been applied. */
	onConfirmed(part: CatalogPart, atMs: number): void;
};
