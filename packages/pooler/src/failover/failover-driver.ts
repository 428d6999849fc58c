import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {type Group} from '../group/index.js';
import {type EventLog} from '../observability/index.js';
import {type FailoverReason, type PromotionService} from './definitions.js';
import {type DutyLease} from './duty-lease.js';
import {failoverReason} from './failover-reason.js';
import {ReplaceLeader} from './replace-leader.js';
import {type TermAnnouncements} from './term-announcements.js';

export type FailoverDriverOptions = {
	lease: DutyLease;
	promotions: PromotionService;
	announcements: TermAnnouncements;
	timers: TimerService;
	events: EventLog;
	hostId: string;
	groups: () => readonly Group[];
};

const checkIntervalMs = 100;
/** Hosts act one after the other within this time, in ms, so that few of them ask for the lease. */
const staggerMs = 500;
/** Pause after an attempt, in ms, so that its effect shows before the next one. */
const attemptPauseMs = 700;

type Suspicion = {reason: FailoverReason; sinceMs: number; notBeforeMs: number};

/** Watches the groups of this host and replaces primaries that fail or leave, one at a time. */
export class FailoverDriver {
	readonly #suspicions = new Map<string, Suspicion>();
	#check: TimerSubscription | undefined;
	#running = false;

	constructor(private readonly options: FailoverDriverOptions) {}

	start(): void {
		this.#check = this.options.timers.every(checkIntervalMs, () => {
			void this.#runDue();
		});
	}

	stop(): void {
		this.#check?.cancel();
	}

	async #runDue(): Promise<void> {
		const nowMs = this.options.timers.nowMs();
		const due = this.options.groups().filter(group => this.#isDue(group, nowMs));
		if (due.length === 0 || this.#running) {
			return;
		}

		this.#running = true;
		try {
			for (const group of due) {
				await this.#replace(group);
			}
		} finally {
			this.#running = false;
		}
	}

	#isDue(group: Group, nowMs: number): boolean {
		const reason = failoverReason(group, nowMs);
		if (!reason) {
			this.#suspicions.delete(group.service);
			return false;
		}

		let suspicion = this.#suspicions.get(group.service);
		if (suspicion?.reason !== reason) {
			const notBeforeMs = Math.max(suspicion?.notBeforeMs ?? 0, nowMs + delayOf(this.options.hostId, group.service));
			suspicion = {reason, sinceMs: nowMs, notBeforeMs};
			this.#suspicions.set(group.service, suspicion);
		}

		return nowMs >= suspicion.notBeforeMs;
	}

	async #replace(group: Group): Promise<void> {
		const {lease, promotions, announcements, timers, events, hostId} = this.options;
		const suspicion = this.#suspicions.get(group.service)!;
		const held = await lease.acquire();
		if (!held) {
			suspicion.notBeforeMs = timers.nowMs() + staggerMs;
			return;
		}

		const reason = failoverReason(group, timers.nowMs());
		if (reason) {
			const startedMs = timers.nowMs();
			const result = await new ReplaceLeader({
				group, reason, lease: held, promotions, announcements, timers, events, hostId,
			}).run();
			events.write(result.isOk() ? 'promotion-finished' : 'promotion-abandoned', {
				service: group.service,
				reason,
				leader: result.isOk() ? result.value.id : undefined,
				detail: result.isErr() ? result.error : undefined,
				suspectedForMs: Math.round(startedMs - suspicion.sinceMs),
				durationMs: Math.round(timers.nowMs() - startedMs),
				fencingToken: held.fencingToken,
			});
			suspicion.notBeforeMs = timers.nowMs() + attemptPauseMs;
		}

		await held.release();
	}
}

/** Delay of this host before it acts, the same each time for a service. */
function delayOf(hostId: string, service: string): number {
	const hash = [...`${hostId}/${service}`].reduce((sum, character) => ((sum * 31) + character.codePointAt(0)!) % 9973, 7);
	return (hash % 100) * (staggerMs / 100);
}
