import {type JsonRow} from '../history/index.js';

export type CallRequest = {
	database: string;
	statement: string;
	parameters: unknown[];
	access: 'read' | 'write';
	/** Session token from the session's last answer; empty for a new session. */
	sessionToken: string;
	requestKey?: {key: string; issuedUnixMs: number};
	workClass: 'critical' | 'short' | 'browse' | 'long';
	timeoutMs: number;
	/** Reads only: maximum age that the caller accepts. */
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

/** Client of the proxies. `execute` never rejects: a broken connection is reported as an outcome. */
export type CallerClient = {
	execute(proxyAddress: string, request: CallRequest): Promise<CallAnswer>;
	close(): void;
};

/** Lists the proxies that a load balancer would currently send a new request to. */
export type ProxyDirectory = {
	readyProxies(): string[];
};

/** One logical request of a session, which may take several attempts. */
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
	/** Called when a step was done without a statement error. */
	acknowledge(step: SessionStep): void;
};

/** Timing and final outcome of one step, including its retries. */
export type StepRecord = {
	statement: string;
	access: 'read' | 'write';
	/** When the step was due, even if it was dropped or started later. */
	dueMs: number;
	/** When the step ended; for a pending step the time at which the record was read. */
	endMs: number;
	/**
	 * - `pending`: no final answer yet.
	 * - `abandoned`: no final answer within the time limit of the step.
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
	/** Arrivals that were dropped because all sessions were busy. */
	droppedArrivals: number;
	/** From the time at which a step was due to its final answer, including retries. */
	latency: Record<'read' | 'write', LatencySummary>;
};
