/** What to start and when it counts as started. */
export type ProcessSpec = {
	/** Name in messages and of the log file; unique among the running processes. */
	name: string;
	/** Path of the JavaScript file. */
	scriptPath: string;
	args: string[];
	/** The process is killed if it has not printed its ready line within this time. */
	readyTimeoutMs: number;
};

/** The line that a program prints on standard output once it serves: `{"event":"ready",…}`. */
export type ReadyLine = {event: 'ready'} & Record<string, string>;

export type ProcessExit = {
	/** Absent if a signal ended the process. */
	code?: number;
	signal?: string;
};

/** A started process that is ready. */
export type ManagedProcess = {
	readonly name: string;
	readonly pid: number;
	readonly ready: ReadyLine;
	/** Settles when the process has ended, for whatever reason. */
	readonly exited: Promise<ProcessExit>;
	readonly isRunning: boolean;
	/** SIGSTOP. */
	pause(): void;
	/** SIGCONT. */
	resume(): void;
	/** SIGKILL, then waits for the end. */
	kill(): Promise<ProcessExit>;
	/** SIGTERM, then waits for the end; SIGKILL if it takes longer than `timeoutMs`. */
	terminate(timeoutMs: number): Promise<ProcessExit>;
	/** Last lines of standard output, then those of standard error. */
	logLines(): string[];
};
