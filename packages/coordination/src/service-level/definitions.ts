/**
 * - `availability`: share of requests with outcome `done` among all requests.
 * - `latency`: share of `done` requests that took at most `thresholdMs` among all `done` requests.
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

/** Number of requests with these labels since the process started. */
export type RequestCount = {
	database: string;
	workClass: string;
	outcome: string;
	code: string;
	count: number;
};

/** Number of reads with outcome `done` since the process started. */
export type ReadCount = {database: string; servedBy: string; count: number};

/** Number of promotions since the process started; `result` is `promoted` or the kind of the failure. */
export type PromotionCount = {database: string; result: string; count: number};

/** Cumulative histogram bucket: number of requests with these labels that took at most `upToMs` since the process started. */
export type LatencyCount = {
	database: string;
	workClass: string;
	outcome: string;
	/** Upper bound in ms; `null` for the bucket without a bound, as JSON has no infinity. */
	upToMs: number | null;
	count: number;
};

/** Counters of one host at one time. Counters restart from zero with the process. */
export type ServiceSample = {
	/** Wall-clock time of the process that took the sample. */
	atUnixMs: number;
	host: string;
	/** Start time of the process; a later start time identifies a new incarnation. */
	startedUnixMs: number;
	requests: RequestCount[];
	latencies: LatencyCount[];
	/** Absent in samples of earlier versions. */
	reads?: ReadCount[];
	/** Absent in samples of earlier versions. */
	promotions?: PromotionCount[];
};

/** Labels that a group of bad requests has in common. */
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
	/** Share of bad requests divided by the share that the objective allows; 1 uses up the budget exactly. */
	burnRate: number;
};

/**
 * - `fast-burn`: in both the last 5 minutes and the last hour, the burn rate would use up a 30-day budget in about two days.
 * - `slow-burn`: in both the last 6 hours and the last 3 days, the burn rate is above 1.
 */
export type BurnState = 'ok' | 'slow-burn' | 'fast-burn';

export type BurnReport = {
	objective: Objective;
	state: BurnState;
	windows: BurnWindow[];
	/** Over `windowDays`. */
	total: number;
	bad: number;
	/** Remaining share of the error budget; negative if it is overspent. */
	budgetLeft: number;
	/** Largest first, over `windowDays`. */
	causes: BurnCause[];
	/** For `latency`: the histogram bound used in place of the threshold, the highest one not above it. */
	usedThresholdMs?: number;
};
