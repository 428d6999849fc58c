import {type JsonRow} from '../history/index.js';

export type CallRequest = {
	database: string;
	statement: string;
	parameters: unknown[];
	access: 'read' | 'write';
	/** Token of the session's last answer; empty for a new session. */
	sessionToken: string;
	requestKey?: {key: string; issuedUnixMs: number};
	workClass: 'critical' | 'short' | 'browse' | 'long';
	timeoutMs: number;
	/** Reads: greatest age that the caller accepts. */
	maxAgeMs?: number;
	callerId: string;
};

export type CallAnswer
	= | {
		outcome: 'done';
		rows: JsonRow[];
		statementError?: string;
		sessionToken: string;
		isRepeated: boolean;
		servedBy: string;
		isByReplica: boolean;
		ageBoundMs: number;
	}
	| {outcome: 'not-run'; code: string; retryAfterMs: number}
	| {outcome: 'unknown'; code: string; retryAfterMs: number; isCut: boolean};

/** Calls a proxy. Never throws: a broken connection is an outcome as well. */
export type CallerClient = {
	execute(proxyAddress: string, request: CallRequest): Promise<CallAnswer>;
	close(): void;
};

/** The proxies that a load balancer would send a new request to now. */
export type ProxyDirectory = {
	readyProxies(): string[];
};

/** One request of a session as the user means it; it may take several attempts. */
export type SessionStep = {
	statement: string;
	parameters: unknown[];
	access: 'read' | 'write';
	workClass: CallRequest['workClass'];
	maxAgeMs?: number;
};

/** Chooses the steps of one session. */
export type StepPlan = {
	next(): SessionStep;
	/** Tells the plan that a step was done without a statement error. */
	acknowledge(step: SessionStep): void;
};

/** How one step went, repeats included. */
export type StepRecord = {
	statement: string;
	access: 'read' | 'write';
	/** When the step was due, whether or not it could start then. */
	dueMs: number;
	/** For a pending step the time at which the record was read. */
	endMs: number;
	/**
	 * - `pending`: has no final answer yet.
	 * - `abandoned`: had no final answer in time.
	 * - `dropped`: not started, because all sessions were busy.
	 */
	outcome: 'pending' | 'done' | 'not-run' | 'unknown' | 'abandoned' | 'dropped';
};

export type LatencySummary = {count: number; p50Ms: number; p99Ms: number; maxMs: number};

export type WorkloadStats = {
	/** Steps started. */
	steps: number;
	/** Steps that ended without a final answer. */
	abandonedSteps: number;
	/** Arrivals that were left out because all sessions were busy. */
	droppedArrivals: number;
	/** From the time that the step was due to its final answer, repeats included. */
	latency: Record<'read' | 'write', LatencySummary>;
};
