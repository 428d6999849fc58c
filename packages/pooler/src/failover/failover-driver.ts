import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {type Group, type Member} from '../group/index.js';
import {type EventLog} from '../observability/index.js';
import {type FailoverReason, type PromotionService} from './definitions.js';
import {type DutyLease} from './duty-lease.js';
import {failoverReason} from './failover-reason.js';
import {FenceWatch} from './fence-watch.js';
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
/** Longest time for a command to a fenced replica, in ms. */
const commandTimeoutMs = 500;
/** Pause after an attempt, in ms, so that its effect shows before the next one. */
const attemptPauseMs = 700;

type Suspicion = {reason: FailoverReason; sinceMs: number; notBeforeMs: number};

/** Watches the groups of this host; replaces primaries that fail or leave, and lifts fences that linger, one at a time. */
export class FailoverDriver {
	readonly #suspicions = new Map<string, Suspicion>();
	readonly #fences = new FenceWatch();
	/** When fences of a service may be lifted next, in monotonic ms. */
	readonly #liftNotBeforeMs = new Map<string, number>();
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
		const groups = this.options.groups();
		const due = groups.filter(group => this.#isDue(group, nowMs));
		const fenced = groups.filter(group => this.#hasFencesToLift(group, nowMs));
		if (due.length + fenced.length === 0 || this.#running) {
			return;
		}

		this.#running = true;
		try {
			for (const group of due) {
				await this.#replace(group);
			}

			for (const group of fenced) {
				await this.#liftFences(group);
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

	#hasFencesToLift(group: Group, nowMs: number): boolean {
		if (this.#fences.lingering(group, nowMs).length === 0) {
			this.#liftNotBeforeMs.delete(group.service);
			return false;
		}

		const notBeforeMs = this.#liftNotBeforeMs.get(group.service) ?? nowMs + delayOf(this.options.hostId, group.service);
		this.#liftNotBeforeMs.set(group.service, notBeforeMs);
		return nowMs >= notBeforeMs;
	}

	/** Under the lease, so that no promoter relies on the fence. Another host may have lifted it meanwhile. */
	async #liftFences(group: Group): Promise<void> {
		const {lease, timers} = this.options;
		this.#liftNotBeforeMs.set(group.service, timers.nowMs() + attemptPauseMs);
		const members = this.#fences.lingering(group, timers.nowMs());
		await Promise.all(members.map(async member => group.poll(member)));
		const held = this.#fences.lingering(group, timers.nowMs()).length > 0 ? await lease.acquire() : undefined;
		if (held) {
			await Promise.all(this.#fences.lingering(group, timers.nowMs()).map(async member => this.#lift(member, group, held.fencingToken)));
			await held.release();
		}
	}

	async #lift(member: Member, group: Group, fencingToken: number): Promise<void> {
		const fencedTerm = member.status?.fencedTerm;
		const status = await member.control({kind: 'resume'}, commandTimeoutMs);
		this.options.events.write('fence-lifted', {
			service: group.service, endpointId: member.id, fencedTerm, term: group.term, outcome: status ? 'answered' : 'no-answer', fencingToken,
		});
	}

	async #replace(group: Group): Promise<void> {
		const {lease, promotions, announcements, timers, events, hostId} = this.options;
		const suspicion = this.#suspicions.get(group.service);
		if (!suspicion) {
			// The group recovered while another one was dealt with.
			return;
		}

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
