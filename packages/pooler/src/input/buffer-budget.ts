import {type TimerService} from '@dogwoodthread/coordination';
import {type EventLog} from '../observability/index.js';

/** Whose data a buffer holds. */
export type BufferSource = 'client' | 'endpoint' | 'host' | 'store';

/**
 * Why input is given up:
 * - `message-too-large`: one message, or the answer to one request, is over its limit.
 * - `buffer-limit`: the buffers of the process are over their common limit, and this one was chosen.
 * - `not-reading`: the other side has not read what was sent to it for too long, or too much waits for it.
 */
export type CutReason = 'message-too-large' | 'buffer-limit' | 'not-reading';

export type BufferAccountOptions = {
	source: BufferSource;
	/** Address of the other side, for the log. */
	address: string;
	/** Releases the buffer. What it held counts as released when this returns. */
	onEvict: () => void;
};

export type BufferBudgetOptions = {
	limitBytes: number;
	timers: TimerService;
	events: EventLog;
};

/**
 * Share of the process's memory limit for buffers. A message that is complete exists several times while it runs (line,
 * statement, command, socket), and the process itself takes about a third.
 */
const bufferShare = 1 / 8;
/** Lowest limit. Some messages of the maximum length must fit at the same time. */
const minLimitBytes = 8_388_608;

/** Limit for all buffers of a process. `memoryLimitBytes` is what the platform allows the process, if it says so. */
export const bufferLimitBytes = (heapLimitBytes: number, memoryLimitBytes = Number.POSITIVE_INFINITY): number =>
	Math.max(minLimitBytes, Math.floor(Math.min(heapLimitBytes, memoryLimitBytes) * bufferShare));

/** The part of the budget that one buffer uses. */
export class BufferAccount {
	#evictableBytes = 0;
	#pinnedBytes = 0;
	#heldSinceMs = 0;

	constructor(private readonly budget: BufferBudget, readonly options: BufferAccountOptions) {}

	get evictableBytes(): number {
		return this.#evictableBytes;
	}

	/**
	 * Sets what the buffer holds. Evictable bytes may be given up, for example those of a message that has not ended, of
	 * which nothing has run. The others belong to work in progress.
	 */
	update(evictableBytes: number, pinnedBytes = 0): void {
		if (evictableBytes > 0 && this.#evictableBytes === 0) {
			this.#heldSinceMs = this.budget.options.timers.nowMs();
		}

		const added = evictableBytes + pinnedBytes - this.#evictableBytes - this.#pinnedBytes;
		this.#evictableBytes = evictableBytes;
		this.#pinnedBytes = pinnedBytes;
		this.budget.add(this, added);
	}

	/** Memory held, by how long it has been held: a message that arrives without a pause weighs little. */
	weight(nowMs: number): number {
		return this.#evictableBytes * (1 + nowMs - this.#heldSinceMs);
	}

	releaseEvictable(): void {
		this.update(0, this.#pinnedBytes);
	}

	/** Logs why the input, which was `bytes` long, was given up. */
	recordCut(reason: CutReason, bytes: number): void {
		this.budget.recordCut(this.options, reason, bytes);
	}

	close(): void {
		this.update(0);
	}
}

/**
 * Limits the memory of all buffers of a process, so that many peers that each stay below the limit of a message cannot
 * exhaust it. Over the limit the buffers with the largest product of size and age are given up, those of clients first:
 * what an endpoint or a host sends may be the answer to a statement that has run.
 */
export class BufferBudget {
	#heldBytes = 0;
	/** The accounts that hold anything evictable. */
	readonly #evictable = new Set<BufferAccount>();

	constructor(readonly options: BufferBudgetOptions) {}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	open(options: BufferAccountOptions): BufferAccount {
		return new BufferAccount(this, options);
	}

	/** Called by the accounts. */
	add(account: BufferAccount, bytes: number): void {
		this.#heldBytes += bytes;
		if (account.evictableBytes > 0) {
			this.#evictable.add(account);
		} else {
			this.#evictable.delete(account);
		}

		if (bytes > 0) {
			this.#evictWhileOverLimit();
		}
	}

	recordCut({source, address}: Pick<BufferAccountOptions, 'source' | 'address'>, reason: CutReason, bytes: number): void {
		this.options.events.write('input-cut', {
			source, address, reason, bytes, heldBytes: this.#heldBytes, limitBytes: this.options.limitBytes,
		});
	}

	#evictWhileOverLimit(): void {
		while (this.#heldBytes > this.options.limitBytes) {
			const victim = this.#chooseVictim();
			if (!victim) {
				return;
			}

			this.#evict(victim);
		}
	}

	#chooseVictim(): BufferAccount | undefined {
		const nowMs = this.options.timers.nowMs();
		const accounts = [...this.#evictable];
		const ofClients = accounts.filter(({options}) => options.source === 'client');
		const candidates = ofClients.length > 0 ? ofClients : accounts;
		const weights = candidates.map(account => account.weight(nowMs));
		const heaviest = weights.indexOf(Math.max(...weights));
		return candidates[heaviest];
	}

	#evict(account: BufferAccount): void {
		account.recordCut('buffer-limit', account.evictableBytes);
		account.releaseEvictable();
		account.options.onEvict();
	}
}
