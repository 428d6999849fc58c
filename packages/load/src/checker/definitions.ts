import {type HistoryEntry, type JsonRow} from '../history/index.js';

export type TableName = 'bookings' | 'payments';

/** A row as one log entry left it; `row` is absent if the entry removed it. */
export type RowChange = {
	table: TableName;
	/** `bookingId` or `paymentId`. */
	rowId: string;
	row?: JsonRow;
};

export type LoggedEntry = {
	term: number;
	index: number;
	requestKeys: string[];
	changes: RowChange[];
};

/** Log and rows of a group's primary after the run, when all faults have ended. */
export type FinalGroupState = {
	database: string;
	/** In log order. */
	entries: LoggedEntry[];
	bookings: JsonRow[];
	payments: JsonRow[];
	/** Highest number of simultaneous connections at each instance. */
	maxConnectionsSeen: Record<string, number>;
};

export type HistoryViolationKind
	= | 'lost-write'
		| 'doubled-write'
		| 'altered-write'
		| 'stale-session-read'
		| 'false-not-run'
		| 'mixed-answer'
		| 'cut-request'
		| 'connections-over-cap';

/** One violation found in the history, with the details that locate it in the logs. */
export type HistoryViolation = {
	kind: HistoryViolationKind;
	detail: string;
	/** Id of the history entry, if the violation concerns a single one. */
	historyId?: number;
};

/** Checks one property of the history of one database. */
export type HistoryCheck = (history: readonly HistoryEntry[], finalState: FinalGroupState) => HistoryViolation[];

export type UnknownOutcomes = {
	/** Requests with at least one attempt whose outcome is unknown. */
	total: number;
	/** Requests that an earlier attempt had executed: a retry returned the recorded answer. */
	resolvedRun: number;
	/**
	 * Requests that no earlier attempt had executed: a retry executed them, by its own answer. If an earlier attempt ran as
	 * well, the log has the write twice, which is counted as a doubled write.
	 */
	resolvedNotRun: number;
	unresolved: number;
};

export type CheckReport = {
	acknowledgedWrites: number;
	lostWrites: number;
	doubledWrites: number;
	alteredWrites: number;
	staleSessionReads: number;
	falseNotRun: number;
	mixedAnswers: number;
	cutRequests: number;
	unknownOutcomes: UnknownOutcomes;
	/** Reads served by a replica, as a share of the reads that may go to a replica; 1 if there were none. */
	replicaReadShare: number;
	/** Longest interval between two acknowledged writes that contains or follows the start of the fault; 0 without a fault. */
	writeGapMs: number;
	/** Whether a write was acknowledged after the fault; true without a fault. */
	writesResumed: boolean;
	maxConnectionsSeen: Record<string, number>;
	connectionsOverCap: number;
	/** Number of attempts that were not done, by access, outcome and code. */
	codes: Record<string, number>;
	historyViolations: HistoryViolation[];
};

export type CheckOptions = {
	history: readonly HistoryEntry[];
	finalStates: FinalGroupState[];
	connectionCap: number;
	/** Start of the fault, on the same clock as the times of the history. */
	faultAtMs?: number;
	/** Database that the fault affects; all databases if absent. */
	faultDatabase?: string;
};
