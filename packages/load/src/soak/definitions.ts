import {
	type ControlRecord, type LogEntry, type ProtocolViolation, type RunRecord,
} from '@dogwoodthread/platform/standin';

export type Consistency = 'primary' | 'bounded-staleness' | 'read-your-writes';

export type SoakOptions = {
	seed: number;
	/** Duration of fault injection in ms, not counting start-up and recovery. */
	durationMs: number;
	hosts: number;
	/** Number of times that the store is restored from a copy. */
	restores: number;
	/** Folder that receives the settings, the logs and the history. */
	folder: string;
	log: (message: string, fields?: Record<string, unknown>) => void;
};

export type ViolationKind
	= | 'lost' | 'doubled' | 'altered' | 'mixed' | 'stale' | 'false-not-run' | 'pinning' | 'routing' | 'late-to-drained'
		| 'malformed' | 'refused-valid' | 'configuration-regress' | 'configuration-late' | 'cut-at-stop' | 'late-stop' | 'no-recovery' | 'crash' | 'fencing';

export type Violation = {kind: ViolationKind; statementId: string; detail: string};

/** One statement as a client sent it, and the outcome that the client observed. */
export type ClientAttempt = {
	statementId: string;
	sessionId: number;
	/** Id of the enclosing transaction; undefined for a statement outside a transaction. */
	transactionId: number | undefined;
	hostIndex: number;
	database: string;
	access: 'read' | 'write' | 'commit';
	item: string | undefined;
	data: string | undefined;
	shape: string | undefined;
	/** The statement as the client sent it. */
	text: string;
	/** Session values whose `SET` was acknowledged before the statement. */
	sessionValues: Readonly<Record<string, string>>;
	/** When the first byte of the statement, or of its transaction, was sent (monotonic time). */
	beganAtMs: number;
	sentAtMs: number;
	endedAtMs: number;
	outcome: 'done' | 'promised-not-run' | 'unknown';
	/** Error code of a refusal, or the reason why there was no answer; empty for `done`. */
	reason: string;
	signature: string;
	rows: readonly string[];
};

export type SoakDatabase = {
	name: string;
	service: string;
	consistency: Consistency;
	maxStalenessMs: number;
};

/** Log of a service's primary after all faults have ended. */
export type FinalLog = {service: string; head: LogEntry};

export type SoakHistory = {
	attempts: readonly ClientAttempt[];
	runs: readonly RunRecord[];
	controls: readonly ControlRecord[];
	/** Messages that an instance refused because they are malformed. */
	protocolViolations: readonly ProtocolViolation[];
	databases: readonly SoakDatabase[];
	finalLogs: readonly FinalLog[];
	/** Instances that announced a drain, with the time at which the store acknowledged it. */
	drained: ReadonlyArray<{instanceId: string; acknowledgedAtMs: number}>;
	/** Hosts stopped by SIGTERM; `wasKilled` if the process was still running after the grace period. */
	stops: ReadonlyArray<{hostIndex: number; fromMs: number; untilMs: number; wasKilled: boolean}>;
	/** Periods during which an unplanned fault was active. */
	disturbances: ReadonlyArray<{fromMs: number; untilMs: number}>;
};

export type SoakReport = {
	seed: number;
	hosts: number;
	minutes: number;
	attempts: number;
	served: number;
	refused: number;
	unknown: number;
	faults: Record<string, number>;
	promotions: number;
	recoveryMs: number;
	violations: Violation[];
	ok: boolean;
};
