import {err, ok, type Result} from 'neverthrow';
import {type EventLog, type PoolerMetrics} from '../observability/index.js';

/**
 * Why text is not kept:
 * - `session-limit`: the session would hold more than one session may.
 * - `process-limit`: the sessions of the process would hold more than they may together, and this one holds the most.
 */
export type SessionMemoryRefusal = 'session-limit' | 'process-limit';

export type SessionMemoryAccountOptions = {
	/** Name of the database or service, for the log. */
	owner: string;
	/**
	 * Ends the session if its client is idle outside a transaction, and returns whether it did. What it held counts as
	 * released when this returns. Absent if the holder of the memory cannot be ended.
	 */
	endIfIdle?: () => boolean;
};

export type SessionMemoryBudgetOptions = {
	/** Limit for one session. */
	sessionLimitBytes: number;
	/** Limit for all sessions of the process. */
	processLimitBytes: number;
	events: EventLog;
	metrics?: PoolerMetrics;
};

/** Escaped as JSON (up to six times as long), it must fit into a message between hosts beside a statement of 1 MiB. */
const sessionLimitBytes = 262_144;
/** A session with some usual values and statements stays below this, including the ids of a transaction. */
const smallSessionBytes = 8192;
/** Share of the process's limit that only sessions up to `smallSessionBytes` may use. */
const smallSessionShare = 1 / 4;
/**
 * Share of the process's memory limit. A statement of another host's connection is encoded and sent with the session's
 * values, so that these exist several times while it runs, and buffers may take an eighth beside it.
 */
const processShare = 1 / 16;
/** Lowest limit for a process, so that sessions at their limit fit beside usual ones. */
const minProcessLimitBytes = 4_194_304;

/** Limits for a process. `memoryLimitBytes` is what the platform allows the process, if it says so. */
export const sessionMemoryLimits = (heapLimitBytes: number, memoryLimitBytes = Number.POSITIVE_INFINITY): Pick<SessionMemoryBudgetOptions, 'sessionLimitBytes' | 'processLimitBytes'> => ({
	sessionLimitBytes,
	processLimitBytes: Math.max(minProcessLimitBytes, Math.floor(Math.min(heapLimitBytes, memoryLimitBytes) * processShare)),
});

/** The part of the budget that one session uses. */
export class SessionMemoryAccount {
	#heldBytes = 0;
	#isClosed = false;

	constructor(private readonly budget: SessionMemoryBudget, readonly options: SessionMemoryAccountOptions) {}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Adds to what the session holds, or changes nothing and returns why. Without effect after the account was closed. */
	reserve(bytes: number, requestId: string): Result<void, SessionMemoryRefusal> {
		if (this.#isClosed) {
			return ok();
		}

		const refusal = bytes > 0 ? this.budget.admit(this, bytes, requestId) : undefined;
		if (refusal) {
			return err(refusal);
		}

		this.#change(bytes);
		return ok();
	}

	release(bytes: number): void {
		if (!this.#isClosed) {
			this.#change(-bytes);
		}
	}

	/** Releases everything; a statement that is still running may release its part later. */
	close(): void {
		this.#change(-this.#heldBytes);
		this.#isClosed = true;
	}

	#change(bytes: number): void {
		this.#heldBytes += bytes;
		this.budget.recordChange(this, bytes);
	}
}

/**
 * Limits the memory that sessions take beyond their statements: session values, prepared statements and the ids of open
 * transactions. When the process's limit is reached, idle sessions that hold more than the one that asks are ended, the
 * largest first; a session that none of them exceeds is refused. A part of the limit is reserved for small sessions, so
 * that these are served even if the large ones are never idle.
 */
export class SessionMemoryBudget {
	#heldBytes = 0;
	/** The accounts that hold anything. */
	readonly #accounts = new Set<SessionMemoryAccount>();

	constructor(private readonly options: SessionMemoryBudgetOptions) {
		options.metrics?.registerSessionMemory(() => this.#heldBytes);
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	open(options: SessionMemoryAccountOptions): SessionMemoryAccount {
		return new SessionMemoryAccount(this, options);
	}

	/** Called by the accounts. Makes room if the account may have it; otherwise returns the reason. */
	admit(account: SessionMemoryAccount, bytes: number, requestId: string): SessionMemoryRefusal | undefined {
		const neededBytes = account.heldBytes + bytes;
		if (neededBytes > this.options.sessionLimitBytes) {
			this.#record('session-limit', account, neededBytes, requestId);
			return 'session-limit';
		}

		if (this.#makeRoom(bytes, neededBytes)) {
			return undefined;
		}

		this.#record('process-limit', account, neededBytes, requestId);
		return 'process-limit';
	}

	/** Called by the accounts. */
	recordChange(account: SessionMemoryAccount, bytes: number): void {
		this.#heldBytes += bytes;
		if (account.heldBytes > 0) {
			this.#accounts.add(account);
		} else {
			this.#accounts.delete(account);
		}
	}

	#makeRoom(bytes: number, neededBytes: number): boolean {
		const limitBytes = this.#limitFor(neededBytes);
		if (this.#heldBytes + bytes <= limitBytes) {
			return true;
		}

		const larger = [...this.#accounts]
			.filter(({heldBytes}) => heldBytes > neededBytes)
			.sort((a, b) => b.heldBytes - a.heldBytes);
		return larger.some(account => {
			this.#endIfIdle(account);
			return this.#heldBytes + bytes <= limitBytes;
		});
	}

	#limitFor(neededBytes: number): number {
		const {processLimitBytes} = this.options;
		return neededBytes <= smallSessionBytes ? processLimitBytes : processLimitBytes * (1 - smallSessionShare);
	}

	#endIfIdle(account: SessionMemoryAccount): void {
		const {heldBytes} = account;
		if (account.options.endIfIdle?.()) {
			account.close();
			this.#record('ended', account, heldBytes);
		}
	}

	#record(outcome: SessionMemoryRefusal | 'ended', {options: {owner}}: SessionMemoryAccount, sessionBytes: number, requestId?: string): void {
		const {events, metrics, sessionLimitBytes, processLimitBytes} = this.options;
		metrics?.countSessionMemoryRefusal(outcome);
		events.write('session-memory-refused', {
			requestId, owner, outcome, sessionBytes, sessionLimitBytes, heldBytes: this.#heldBytes, processLimitBytes,
		});
	}
}
