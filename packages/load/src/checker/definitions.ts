import {type HistoryEntry, type JsonRow} from '../history/index.js';

export type TableName = 'bookings' | 'payments';

/** State of one row after a log entry; `row` is absent if the entry removed it. */
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

/** What the primary of a group holds after the run, with all faults healed. */
export type GroupTruth = {
	database: string;
	/** In log order. */
	entries: LoggedEntry[];
	bookings: JsonRow[];
	payments: JsonRow[];
	/** Highest number of connections that each instance has seen at once. */
	maxConnectionsSeen: Record<string, number>;
};

export type HarmKind
	= | 'lost-write'
		| 'doubled-write'
		| 'altered-write'
		| 'stale-session-read'
		| 'false-not-run'
		| 'mixed-answer'
		| 'cut-request'
		| 'connections-over-cap';

/** One violation, with what is needed to find it in the logs. */
export type Harm = {
	kind: HarmKind;
	detail: string;
	/** Entry of the history, if one is concerned. */
	historyId?: number;
};

/** A check of one property over the history of one database. */
export type HistoryCheck = (history: readonly HistoryEntry[], truth: GroupTruth) => Harm[];

export type UnknownOutcomes = {
	/** Requests of which at least one attempt ended unknown. */
	total: number;
	/** A repeat found the answer of the earlier attempt. */
	resolvedRun: number;
	/** A repeat ran it for the first time, or it was refused for good. */
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
	/** Reads served by a replica / reads that were allowed to go to one; 1 if there were none. */
	replicaReadShare: number;
	/** Longest time between two acknowledged writes that touches the fault; 0 without a fault. */
	writeGapMs: number;
	/** Whether a write was acknowledged after the fault; true without a fault. */
	writesResumed: boolean;
	maxConnectionsSeen: Record<string, number>;
	connectionsOverCap: number;
	/** Attempts by outcome and code, for those that were not done. */
	codes: Record<string, number>;
	harms: Harm[];
};

export type CheckOptions = {
	history: readonly HistoryEntry[];
	truths: GroupTruth[];
	connectionCap: number;
	/** When the fault began, in the history's clock. */
	faultAtMs?: number;
	/** Database that the fault concerns; absent means all. */
	faultDatabase?: string;
};
