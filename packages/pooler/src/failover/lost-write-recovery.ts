import {type RandomSource, type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {type Group, leadershipEvidenceTtlMs} from '../group/index.js';
import {type EventLog, guardTask} from '../observability/index.js';
import {type StoreHistory} from '../store-history/index.js';
import {leaseExpiryMs, type PromotionLease} from './promotion-lease.js';
import {type PromotionRecordStore} from './promotion-record-store.js';

export type LostWriteRecoveryOptions = {
	history: StoreHistory;
	lease: PromotionLease;
	promotionRecords: PromotionRecordStore;
	groups: () => readonly Group[];
	timers: TimerService;
	events: EventLog;
	random: RandomSource;
};

const checkIntervalMs = 500;
/** Hosts spread their calls over this time, in ms, so that the first one to write saves the others the write. */
const maxDelayMs = 1500;
const proofTimeoutMs = 500;

/** Writes again what failover needs at the store and a restore of the store has lost, once in each generation. */
export class LostWriteRecovery {
	#checkTimer: TimerSubscription | undefined;
	#isRunning = false;
	readonly #delayMs: number;
	#leaseGeneration = 0;
	/** Latest generation in which the record of a service was restored, and in which its term was confirmed. */
	readonly #restoredGenerations = new Map<string, number>();
	readonly #confirmedGenerations = new Map<string, number>();

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
			for (const group of this.options.groups()) {
				await this.#restoreRecord(group);
				await this.#confirmTerm(group);
			}
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

	/** Done long before another host may take the lease, so that it does not promote a member that lacks acknowledged commits. */
	async #restoreRecord({service}: Group): Promise<void> {
		const {history, promotionRecords, timers, events} = this.options;
		const {generation} = history;
		const isDue = generation > (this.#restoredGenerations.get(service) ?? 0) && history.isOlderThan(this.#delayMs, timers.nowMs());
		const outcome = isDue ? await promotionRecords.restore(service) : 'failed';
		if (outcome !== 'failed') {
			this.#restoredGenerations.set(service, generation);
		}

		if (outcome === 'restored') {
			events.write('promotion-record-restored', {service, storeGeneration: generation});
		}
	}

	/** The evidence must be newer than every promotion whose announcement a restore may have lost. */
	async #confirmTerm(group: Group): Promise<void> {
		const {history, promotionRecords, timers, events} = this.options;
		const {generation} = history;
		const {service, leader, term} = group;
		const startedMs = timers.nowMs();
		const isDue = generation > (this.#confirmedGenerations.get(service) ?? 0)
			&& history.isOlderThan(leaseExpiryMs + leadershipEvidenceTtlMs + this.#delayMs, startedMs);
		if (!isDue || !leader || group.members.size <= 1) {
			return;
		}

		// The voters may all have restarted since; then the statuses of all members show the same.
		if (!await group.proveLeadership(startedMs, startedMs + proofTimeoutMs) && !await isEveryMemberInTerm(group, startedMs)) {
			return;
		}

		if (group.leader === leader && await promotionRecords.confirmTerm(service, term)) {
			this.#confirmedGenerations.set(service, generation);
			events.write('promotion-term-confirmed', {service, term, storeGeneration: generation});
		}
	}
}

async function isEveryMemberInTerm(group: Group, sinceMs: number): Promise<boolean> {
	const members = [...group.members.values()];
	await Promise.all(members.map(async member => group.poll(member)));
	return members.every(({status, statusRequestedAtMs}) =>
		status !== undefined && statusRequestedAtMs >= sinceMs && status.term === group.term && status.fencedTerm <= group.term);
}
