import {type RandomSource, type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {type EventLog, guardTask} from '../observability/index.js';
import {type StoreHistory} from '../store-history/index.js';
import {leaseExpiryMs, type PromotionLease} from './promotion-lease.js';

export type LostWriteRecoveryOptions = {
	history: StoreHistory;
	lease: PromotionLease;
	timers: TimerService;
	events: EventLog;
	random: RandomSource;
};

const checkIntervalMs = 500;
/** Hosts spread their calls over this time, in ms, so that the first one to write saves the others the write. */
const maxDelayMs = 1500;

/** Writes again what failover needs at the store and a restore of the store has lost, once in each generation. */
export class LostWriteRecovery {
	#checkTimer: TimerSubscription | undefined;
	#isRunning = false;
	readonly #delayMs: number;
	#leaseGeneration = 0;

	constructor(private readonly options: LostWriteRecoveryOptions) {
		this.#delayMs = options.random() * maxDelayMs;
	}

	start(): void {
		this.#checkTimer = this.options.timers.every(checkIntervalMs, () => {
			void guardTask('lost-write-recovery', this.options.events, async () => {
				await this.#runOnce();
			});
		});
	}

	stop(): void {
		this.#checkTimer?.cancel();
	}

	async #runOnce(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			await this.#renewLease();
		} finally {
			this.#isRunning = false;
		}
	}

	async #renewLease(): Promise<void> {
		const {history, lease, timers} = this.options;
		const {generation} = history;
		const isDue = generation > this.#leaseGeneration && history.isOlderThan(leaseExpiryMs + this.#delayMs, timers.nowMs());
		if (isDue && await lease.renewAfterRestore()) {
			this.#leaseGeneration = generation;
		}
	}
}
