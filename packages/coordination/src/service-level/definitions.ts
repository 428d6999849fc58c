/**
 * - `availability`: requests that end as done, of all requests.
 * - `latency`: done requests that take at most `thresholdMs`, of all done requests.
 */
export type ObjectiveKind = 'availability' | 'latency';

/** Service-level objective. */
export type Objective = {
	name: string;
	kind: ObjectiveKind;
	/** Only requests of this database; all if absent. */
	database?: string;
	/** Only requests of this work class; all if absent. */
	workClass?: string;
	/** Share of good requests, over 0 and at most 1. */
	targetRatio: number;
	/** For `latency`, in ms. */
	thresholdMs?: number;
	/** Time over which the error budget is counted, in days. */
	windowDays: number;
};

/** Requests of one kind since the process started. */
export type RequestCount = {
	database: string;
	workClass: string;
	outcome: string;
	code: string;
	count: number;
};

/** Reads answered as done since the process started. */
export type ReadCount = {database: string; servedBy: string; count: number};

/** Promotions since the process started; `promoted` or the kind of the failure. */
export type PromotionCount = {database: string; result: string; count: number};

/** Requests of one kind that took at most `upToMs` since the process started. */
export type LatencyCount = {
	database: string;
	workClass: string;
	outcome: string;
	/** Upper bound in ms; `null` for the bucket without a bound, as JSON has no infinity. */
	upToMs: number | null;
	count: number;
};

/** Counters of one host at one time. A host counts from zero again when its process restarts. */
export type ServiceSample = {
	/** Wall-clock time of the reader. */
	atUnixMs: number;
	host: string;
	/** Start time of the process; a later one is a new incarnation. */
	startedUnixMs: number;
	requests: RequestCount[];
	latencies: LatencyCount[];
	/** Absent in samples of earlier versions. */
	reads?: ReadCount[];
	/** Absent in samples of earlier versions. */
	promotions?: PromotionCount[];
};

/** What ended a request badly. */
export type BurnCause = {
	outcome: string;
	/** Code of the outcome; `slow` for requests over a latency threshold. */
	code: string;
	database: string;
	workClass: string;
	bad: number;
	/** Share of all bad requests. */
	share: number;
};

export type BurnWindow = {
	/** E.g. `5 min`. */
	name: string;
	windowMs: number;
	total: number;
	bad: number;
	/** Share of bad requests over the share that the objective allows; 1 uses up the budget exactly. */
	burnRate: number;
};

/**
 * - `fast-burn`: the budget of a month would be gone in two days, in the last 5 minutes and the last hour.
 * - `slow-burn`: more is used than the objective allows, in the last 6 hours and the last 3 days.
 */
export type BurnState = 'ok' | 'slow-burn' | 'fast-burn';

export type BurnReport = {
	objective: Objective;
	state: BurnState;
	windows: BurnWindow[];
	/** Over `windowDays`. */
	total: number;
	bad: number;
	/** Share of the error budget that is left; negative if it is overspent. */
	budgetLeft: number;
	/** Largest first, over `windowDays`. */
	causes: BurnCause[];
	/** For `latency`: the histogram bound that was used, the highest one not over the threshold. */
	usedThresholdMs?: number;
};
