/** A row of an answer or of an endpoint's table. */
export type JsonRow = Record<string, unknown>;

export type Outcome = 'done' | 'not-run' | 'unknown';

/** One attempt of a request: what was asked, when, and how the answer read. */
export type HistoryEntry = {
	/** Sequence number in the history. */
	id: number;
	sessionId: string;
	database: string;
	access: 'read' | 'write';
	statement: string;
	parameters: unknown[];
	/** Writes only. The same key in several entries means that an unknown outcome was repeated. */
	requestKey?: string;
	/** Proxy that was asked. */
	proxy: string;
	/** Monotonic times of the load tool in ms. */
	invokeMs: number;
	returnMs: number;
	outcome: Outcome;
	/** Code of a not-run or unknown outcome. */
	code?: string;
	/** Whether the connection or stream ended while the request was in flight. */
	isCut?: boolean;
	/** Code of a statement error: the statement ran and was rolled back. */
	statementError?: string;
	rows: JsonRow[];
	sessionToken?: string;
	/** The answer was recorded by an earlier attempt with the same key. */
	isRepeated?: boolean;
	servedBy?: string;
	isByReplica?: boolean;
	/** Reads: the stated bound; absent if none was stated. */
	maxAgeMs?: number;
	ageBoundMs?: number;
};
