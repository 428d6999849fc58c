/** A place in the group's log. Ordered by term, then by index; index 0 is before the first entry. */
export type Position = {term: number; index: number};

export type BookingState = 'active' | 'cancelled';

export type BookingRow = {
	bookingId: string;
	lane: string;
	slot: string;
	caller: string;
	state: BookingState;
	note: string;
	/** How often the booking was amended. */
	amendments: number;
};

/** One row for each execution, so that a payment that ran twice shows as two rows. */
export type PaymentRow = {paymentId: string; bookingId: string; amountCents: number};

export type RowChange = {table: 'bookings'; row: BookingRow} | {table: 'payments'; row: PaymentRow};

/** Error of a statement that ran and was rolled back. */
export type StatementFault = {code: string; message: string};

/** What a caller learns from a statement; recorded with its request key. */
export type StatementAnswer = {rows: string[]; statementError?: StatementFault};

/** Answer given without running anything. */
export type Refusal = {code: string; message: string};

/** Idempotency key as the caller sent it. */
export type RequestKeyValue = {key: string; issuedUnixMs: number};

/** Idempotency key as it is kept in the log. */
export type RecordedKey = RequestKeyValue & {
	/** Hash of the statement or of all statements of the transaction. */
	fingerprint: string;
	answer: StatementAnswer;
	/** Clock of the primary that recorded it. */
	recordedUnixMs: number;
};

export type LogEntryKind = 'term-start' | 'commit';

export type LogEntry = Position & {kind: LogEntryKind; changes: RowChange[]; requestKey?: RecordedKey};

export type Role = 'primary' | 'replica';

export type PrimaryAddress = {memberId: string; address: string};

/** Status of the instance as monitors see it. */
export type MemberStatus = {
	role: Role;
	fencedTerm: number;
	verifiedTerm: number;
	received: Position;
	applied: Position;
	primaryContact: boolean;
};

/** Identity of a connection; see `Hello` in endpoint.proto. */
export type ConnectionIdentity = {rank: number; generation: number; index: number};

export type StatementRequest = {
	term: number;
	name: string;
	parametersJson: string;
	mayWrite: boolean;
	requestKey: RequestKeyValue | undefined;
};

/** A complete answer to one request of a session. */
export type CompletedAnswer = {
	kind: 'completed';
	answer: StatementAnswer;
	position: Position;
	verifiedTerm: number;
	repeated: boolean;
	serviceUs: number;
};

export type SessionAnswer = CompletedAnswer | ({kind: 'refused'} & Refusal);

/** Request of a replica for the entries after its last one. */
export type PullRequest = {database: string; memberId: string; term: number; after: Position};

/** First index of each term in a log, ascending. Two logs are equal up to the last index where their terms agree. */
export type TermStart = {term: number; firstIndex: number};

export type PullAnswer =
	| {kind: 'entries'; entries: LogEntry[]}
	| {kind: 'mismatch'; lastIndex: number; termStarts: TermStart[]}
	| {kind: 'refused'; code: string};

/** Port of a replica to the replication service of its primary. */
export type ReplicationTransport = {
	/** Rejects when the primary cannot be reached or gives no answer in time. */
	pull(address: string, request: PullRequest, signal: AbortSignal): Promise<PullAnswer>;
};

/** Faults that the control port injects. */
export type FaultValues = {
	/** Accepts TCP connections but answers nothing, replication included. */
	frozen: boolean;
	/** No replication in or out; callers still reach the instance. */
	cutFromGroup: boolean;
	refuseConnections: boolean;
	answerDelayMs: number;
	/** Sends an answer with a request id that was never issued before each answer. */
	crossAnswers: boolean;
	/** Closes the stream in the middle of the rows of an answer. */
	dropMidRows: boolean;
	leaving: boolean;
	replicationDelayMs: number;
	applyLagMs: number;
};

/** An instance that is running in this process. */
export type RunningEndpoint = {
	endpointAddress: string;
	replicationAddress: string;
	controlAddress: string;
	close(): Promise<void>;
};
