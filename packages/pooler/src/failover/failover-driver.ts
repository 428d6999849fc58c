import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {type Group, type Member} from '../group/index.js';
import {type EventLog, guardTask} from '../observability/index.js';
import {type FailoverReason, type PromotionService} from './definitions.js';
import {type PromotionLease} from './promotion-lease.js';
import {AbandonedTermDetector, isPresentTermLatest} from './abandoned-term-detector.js';
import {BrokenLinks} from './broken-links.js';
import {failoverReason, isLeaderIsolated} from './failover-reason.js';
import {OrderPrecedence} from './order-precedence.js';
import {canLiftFence, OrphanedFenceDetector} from './orphaned-fence-detector.js';
import {ReplaceLeader} from './replace-leader.js';
import {UnseenOrders} from './unseen-orders.js';
import {type PromotionRecordStore} from './promotion-record-store.js';

export type FailoverDriverOptions = {
	lease: PromotionLease;
	promotionService: PromotionService;
	promotionRecords: PromotionRecordStore;
	timers: TimerService;
	events: EventLog;
	hostId: string;
	groups: () => readonly Group[];
};

const checkIntervalMs = 100;
/** Hosts spread their actions over this time, in ms, so that few of them compete for the lease. */
const staggerMs = 500;
/** Timeout of a command to a fenced replica, in ms. */
const commandTimeoutMs = 500;
/** Time for members to report their status before a replacement begins, in ms; a member that is down does not answer. */
const refreshTimeoutMs = 150;
/** Minimum remaining time of the lease when an announcement is withdrawn, in ms. */
const minLeaseRemainingMs = 1000;
/** Delay after an attempt, in ms, so that its effect is visible before the next one. */
const attemptDelayMs = 700;

/** `deferredTerm`: the term whose promoter has precedence, if that was logged. */
type Suspicion = {reason: FailoverReason; sinceMs: number; notBeforeMs: number; deferredTerm?: number};

/** Checks the groups of this host: replaces failed or draining primaries and lifts orphaned fences, one group at a time. */
export class FailoverDriver {
	readonly #suspicions = new Map<string, Suspicion>();
	readonly #orphanedFenceDetector = new OrphanedFenceDetector();
	readonly #unseenOrders: UnseenOrders;
	readonly #orderPrecedence: OrderPrecedence;
	readonly #brokenLinks = new BrokenLinks();
	/** Services whose primary is isolated while no promotion can help. */
	readonly #servicesWithoutSuccessor = new Set<string>();
	/** Earliest time at which fences of a service may be lifted, in monotonic ms. */
	readonly #liftNotBeforeMs = new Map<string, number>();
	readonly #abandonedTerms = new AbandonedTermDetector();
	#checkTimer: TimerSubscription | undefined;
	#isRunning = false;

	constructor(private readonly options: FailoverDriverOptions) {
		this.#unseenOrders = new UnseenOrders(options.timers);
		this.#orderPrecedence = new OrderPrecedence(options.timers);
	}

	start(): void {
		this.#checkTimer = this.options.timers.every(checkIntervalMs, () => {
			void guardTask('failover', this.options.events, async () => {
				await this.#runDueActions();
			});
		});
	}

	stop(): void {
		this.#checkTimer?.cancel();
	}

	async #runDueActions(): Promise<void> {
		const nowMs = this.options.timers.nowMs();
		const groups = this.options.groups();
		this.#orderPrecedence.observe(groups);
		for (const group of groups) {
			this.#brokenLinks.observe(group, nowMs);
		}

		const groupsToFailOver = groups.filter(group => this.#isReplacementDue(group, nowMs));
		const groupsWithOrphanedFence = groups.filter(group => this.#isFenceLiftDue(group, nowMs));
		const groupsWithAbandonedTerm = groups.filter(group => this.#abandonedTerms.isDue(group, nowMs + staggerDelayMs(this.options.hostId, group.service) - staggerMs));
		if (groupsToFailOver.length + groupsWithOrphanedFence.length + groupsWithAbandonedTerm.length === 0 || this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			for (const group of groupsToFailOver) {
				await this.#replaceLeader(group);
			}

			for (const group of groupsWithOrphanedFence) {
				await this.#liftFences(group);
			}

			for (const group of groupsWithAbandonedTerm) {
				await this.#withdrawAbandonedTerm(group);
			}
		} finally {
			this.#isRunning = false;
		}
	}

	#isReplacementDue(group: Group, nowMs: number): boolean {
		const reason = failoverReason(group, nowMs, this.#brokenLinks);
		this.#noteIsolation(group, reason, nowMs);
		if (!reason) {
			this.#suspicions.delete(group.service);
			return false;
		}

		let suspicion = this.#suspicions.get(group.service);
		if (suspicion?.reason !== reason) {
			const notBeforeMs = Math.max(suspicion?.notBeforeMs ?? 0, nowMs + staggerDelayMs(this.options.hostId, group.service));
			suspicion = {reason, sinceMs: nowMs, notBeforeMs};
			this.#suspicions.set(group.service, suspicion);
		}

		this.#deferToPromoter(group, suspicion);
		return nowMs >= suspicion.notBeforeMs;
	}

	/** While another host has precedence, this one does not even take the lease, so that the other one gets it. */
	#deferToPromoter(group: Group, suspicion: Suspicion): boolean {
		const remainingMs = this.#orderPrecedence.remainingMs(group.service);
		if (remainingMs === 0) {
			return false;
		}

		const {lease, timers, hostId, events} = this.options;
		suspicion.notBeforeMs = Math.max(suspicion.notBeforeMs, timers.nowMs() + remainingMs + staggerDelayMs(hostId, group.service));
		if (suspicion.deferredTerm !== group.term) {
			suspicion.deferredTerm = group.term;
			events.write('promotion-deferred', {
				service: group.service, reason: suspicion.reason, detail: 'another host has just ordered a promotion', term: group.term, remainingMs: Math.round(remainingMs),
			});
			// If the promoter was killed while it held the lease, the lease expires meanwhile.
			void guardTask('failover', events, async () => lease.observe());
		}

		return true;
	}

	#noteIsolation(group: Group, reason: FailoverReason | undefined, nowMs: number): void {
		const {service, leader, term} = group;
		if (reason !== undefined || !isLeaderIsolated(group, nowMs)) {
			this.#servicesWithoutSuccessor.delete(service);
		} else if (!this.#servicesWithoutSuccessor.has(service)) {
			this.#servicesWithoutSuccessor.add(service);
			this.options.events.write('promotion-deferred', {
				service, reason: 'leader-isolated', detail: 'no other member could confirm the commits of a new primary', leader: leader?.id, term,
			});
		}
	}

	#isFenceLiftDue(group: Group, nowMs: number): boolean {
		if (this.#orphanedFenceDetector.membersWithOrphanedFence(group, nowMs).length === 0) {
			this.#liftNotBeforeMs.delete(group.service);
			return false;
		}

		const notBeforeMs = this.#liftNotBeforeMs.get(group.service) ?? nowMs + staggerDelayMs(this.options.hostId, group.service);
		this.#liftNotBeforeMs.set(group.service, notBeforeMs);
		return nowMs >= notBeforeMs;
	}

	/** Lifts fences under the lease, so that no promoter relies on them. Polls first, because another host may have lifted them. */
	async #liftFences(group: Group): Promise<void> {
		const {lease, timers, promotionRecords} = this.options;
		this.#liftNotBeforeMs.set(group.service, timers.nowMs() + attemptDelayMs);
		const startedMs = timers.nowMs();
		await pollAll(group);
		const heldLease = this.#orphanedFenceDetector.membersWithOrphanedFence(group, timers.nowMs()).length > 0 ? await lease.acquire() : undefined;
		if (!heldLease) {
			return;
		}

		const record = await promotionRecords.read(group.service);
		if (record && heldLease.isValid(minLeaseRemainingMs)) {
			const members = this.#orphanedFenceDetector.membersWithOrphanedFence(group, timers.nowMs())
				.filter(member => canLiftFence(member, group, record, startedMs));
			await Promise.all(members.map(async member => this.#liftFence(member, group, heldLease.fencingToken)));
		}

		await heldLease.release();
	}

	async #liftFence(member: Member, group: Group, fencingToken: number): Promise<void> {
		const fencedTerm = member.status?.fencedTerm;
		const status = await member.sendControlCommand({kind: 'resume'}, commandTimeoutMs);
		this.options.events.write('fence-lifted', {
			service: group.service, endpointId: member.id, fencedTerm, term: group.term, outcome: status ? 'answered' : 'no-answer', fencingToken,
		});
	}

	/** Withdraws, under the lease, the announcement of a promoter that has ended, since no voter can be added while it stands. */
	async #withdrawAbandonedTerm(group: Group): Promise<void> {
		const {lease, timers, promotionRecords, events} = this.options;
		this.#abandonedTerms.restart(group, timers.nowMs());
		const heldLease = await lease.acquire();
		if (!heldLease) {
			return;
		}

		const startedMs = timers.nowMs();
		await pollAll(group);
		const record = await promotionRecords.read(group.service);
		if (record && record.term > group.term && heldLease.isValid(minLeaseRemainingMs) && isPresentTermLatest(group, record, startedMs)) {
			const isWithdrawn = await promotionRecords.settleTerm(group.service, record, group.term);
			events.write('promotion-term-withdrawn', {
				service: group.service, announcedTerm: record.term, term: group.term, isWithdrawn, fencingToken: heldLease.fencingToken,
			});
		}

		await heldLease.release();
	}

	async #replaceLeader(group: Group): Promise<void> {
		const {lease, promotionService, promotionRecords, timers, events, hostId} = this.options;
		const suspicion = this.#suspicions.get(group.service);
		if (!suspicion) {
			// The group recovered while another one was being handled.
			return;
		}

		const heldLease = await lease.acquire();
		if (!heldLease) {
			suspicion.notBeforeMs = timers.nowMs() + staggerMs;
			return;
		}

		// Another host may have replaced the primary while this one waited for the lease.
		await Promise.race([pollAll(group), timers.sleep(refreshTimeoutMs)]);
		this.#orderPrecedence.observe(this.options.groups());
		const reason = failoverReason(group, timers.nowMs(), this.#brokenLinks);
		if (reason && !this.#deferToPromoter(group, suspicion)) {
			const startedMs = timers.nowMs();
			const result = await new ReplaceLeader({
				group,
				reason,
				lease: heldLease,
				promotionService: this.#notingOwnOrders(group, promotionService),
				promotionRecords,
				unseenOrders: this.#unseenOrders,
				timers,
				events,
				hostId,
			}).run();
			events.write(result.isOk() ? 'promotion-finished' : 'promotion-abandoned', {
				service: group.service,
				reason,
				leader: result.isOk() ? result.value.id : undefined,
				detail: result.isErr() ? result.error : undefined,
				suspectedForMs: Math.round(startedMs - suspicion.sinceMs),
				durationMs: Math.round(timers.nowMs() - startedMs),
				fencingToken: heldLease.fencingToken,
			});
			suspicion.notBeforeMs = timers.nowMs() + attemptDelayMs;
		}

		await heldLease.release();
	}

	#notingOwnOrders(group: Group, promotionService: PromotionService): PromotionService {
		return {
			promote: call => {
				const term = group.term + 1;
				const noteOrder = () => {
					this.#orderPrecedence.recordOwnOrder(group.service, term);
				};

				return promotionService.promote(call).andTee(noteOrder).orTee(error => {
					if (!error.outcomeKnown) {
						noteOrder();
					}
				});
			},
		};
	}
}

async function pollAll(group: Group): Promise<void> {
	await Promise.all([...group.members.values()].map(async member => group.poll(member)));
}

/** Delay before this host acts on a service, derived from both names, so that it is the same each time. */
function staggerDelayMs(hostId: string, service: string): number {
	const hash = [...`${hostId}/${service}`].reduce((sum, character) => ((sum * 31) + character.codePointAt(0)!) % 9973, 7);
	return (hash % 100) * (staggerMs / 100);
}
