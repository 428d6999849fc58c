/** A row of an answer or of an endpoint's table, parsed from JSON. */
export type JsonRow = Record<string, unknown>;

export type Outcome = 'done' | 'not-run' | 'unknown';

/** One attempt of a request: its statement, its times and its answer. */
export type HistoryEntry = {
	/** Sequence number in the history. */
	id: number;
	sessionId: string;
	database: string;
	access: 'read' | 'write';
	statement: string;
	parameters: unknown[];
	/** Writes only. Several entries have the same key if the request was retried after an unknown outcome. */
	requestKey?: string;
	/** Address of the proxy that received the request. */
	proxy: string;
	/** When the request was sent, in ms on the load tool's monotonic clock. */
	invokeMs: number;
	/** When the attempt ended, on the same clock. */
	returnMs: number;
	outcome: Outcome;
	/** Code of a `not-run` or `unknown` outcome. */
	code?: string;
	/** Whether the connection or stream ended while the request was in flight. */
	isCut?: boolean;
	/** Code of a statement error: the statement ran and was rolled back. */
	statementError?: string;
	rows: JsonRow[];
	sessionToken?: string;
	/** Whether the answer is the recorded one of an earlier attempt with the same key. */
	isRepeated?: boolean;
	servedBy?: string;
	isByReplica?: boolean;
	/** Reads only: the maximum age that the request stated; absent if it stated none. */
	maxAgeMs?: number;
	ageBoundMs?: number;
};
