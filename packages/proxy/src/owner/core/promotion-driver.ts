import {
	comparePositions, evaluateFailureEvidence, type FailureEvidence, type GroupMember, type PromotionReport, type TimerSubscription,
} from '@dogwoodthread/coordination';
import {type OwnerOptions} from '../definitions.js';
import {type GroupState, type Instance} from './group-state.js';

const checkIntervalMs = 50;

/** A witness's word is asked for again after this time. */
const witnessValidMs = 1000;

const repairIntervalMs = 500;

/** Pause after a promotion that failed, so that two promoters do not fence each other without end. */
const retryDelayMs = 500;

/** Longest time to wait for a replica to catch up before a planned change of primary. */
const catchUpMs = 2000;

/** Watches the group while this proxy acts for it; replaces the primary and brings members back in line. */
export class PromotionDriver {
	#busy = false;
	#witnessed: {memberId: string; unreachable: boolean; atMs: number} | undefined;
	#asking = false;
	#notBeforeMs = 0;
	#failedKind: string | undefined;
	readonly #subscriptions: TimerSubscription[] = [];

	constructor(private readonly options: OwnerOptions, private readonly state: GroupState) {}

	/** Why the last attempt failed, while a promotion is still called for. */
	get failedKind(): string | undefined {
		return this.#failedKind;
	}

	start(): void {
		const {timers} = this.options;
		this.#subscriptions.push(
			timers.every(checkIntervalMs, () => {
				void this.#check();
			}),
			timers.every(repairIntervalMs, () => {
				this.#repair();
			}),
		);
	}

	stop(): void {
		for (const subscription of this.#subscriptions) {
			subscription.cancel();
		}
	}

	async #check(): Promise<void> {
		const {timers, isActing} = this.options;
		if (this.#busy || !isActing() || timers.nowMs() < this.#notBeforeMs) {
			return;
		}

		this.#busy = true;
		try {
			const evidence = this.#evaluate();
			if (evidence !== 'none') {
				await this.#promote(evidence, this.state.primaryLostSinceMs ?? timers.nowMs() - this.options.policy.detectionMs);
			} else if (this.state.primary && this.state.isLeaving(this.state.primary)) {
				await this.#replaceLeaving(this.state.primary);
			} else {
				this.#failedKind = undefined;
			}
		} finally {
			this.#busy = false;
		}
	}

	#evaluate(): FailureEvidence | 'no-primary' {
		const {timers, policy, members} = this.options;
		const nowMs = timers.nowMs();
		const {lastPrimary} = this.state;
		const others = [...this.state.instances.values()].filter(instance => instance !== lastPrimary && instance.monitor.health.monitorUp);
		const unreachableSinceMs = lastPrimary?.monitor.health.unreachableSinceMs;
		if (lastPrimary && unreachableSinceMs !== undefined && nowMs - unreachableSinceMs >= policy.detectionMs / 2) {
			void this.#askWitness(lastPrimary.member);
		}

		const evidence = evaluateFailureEvidence({
			nowMs,
			detectionMs: policy.detectionMs,
			groupSize: members.length,
			primaryUnreachableSinceMs: unreachableSinceMs,
			isConfirmedByOtherDomain: lastPrimary !== undefined && this.#isWitnessed(lastPrimary.member),
			replicas: others.map(({monitor}) => ({contactLostSinceMs: monitor.health.contactLostSinceMs})),
		});
		return evidence === 'none' && this.#isUnfinished(others, lastPrimary, nowMs) ? 'no-primary' : evidence;
	}

	/** An earlier promotion fenced the group and did not finish. */
	#isUnfinished(others: readonly Instance[], lastPrimary: Instance | undefined, nowMs: number): boolean {
		const {primaryLostSinceMs, tracker} = this.state;
		const fenced = [...others, ...lastPrimary?.monitor.health.monitorUp ? [lastPrimary] : []]
			.filter(({monitor}) => (monitor.health.status?.fencedTerm ?? 0) > tracker.term);
		return primaryLostSinceMs !== undefined
			&& nowMs - primaryLostSinceMs >= this.options.policy.detectionMs
			&& fenced.length > 0;
	}

	#isWitnessed({memberId}: GroupMember): boolean {
		const witnessed = this.#witnessed;
		return witnessed?.memberId === memberId
			&& witnessed.unreachable
			&& this.options.timers.nowMs() - witnessed.atMs < witnessValidMs;
	}

	async #askWitness(member: GroupMember): Promise<void> {
		const {timers, witness, database} = this.options;
		const known = this.#witnessed;
		if (this.#asking || (known?.memberId === member.memberId && timers.nowMs() - known.atMs < witnessValidMs / 2)) {
			return;
		}

		this.#asking = true;
		const observation = await witness.observe(database, member);
		this.#witnessed = {memberId: member.memberId, unreachable: observation === 'unreachable', atMs: timers.nowMs()};
		this.#asking = false;
	}

	async #promote(evidence: FailureEvidence | 'no-primary' | 'leaving', lostSinceMs: number): Promise<void> {
		const {database, promotePrimary, timers, logger, events} = this.options;
		const replaces = this.state.lastPrimary?.member.memberId ?? '';
		const startMs = timers.nowMs();
		logger.warn({
			event: 'promotion-started', evidence, replaces, term: this.state.tracker.term,
		});
		const result = await promotePrimary.run({
			database,
			replaces,
			observedTerm: this.state.tracker.term,
			avoidedMemberIds: evidence === 'leaving' ? [replaces] : [],
			excludedMemberIds: evidence === 'isolated' ? [replaces] : [],
		});
		if (result.isErr()) {
			this.#notBeforeMs = timers.nowMs() + (retryDelayMs * (1 + this.options.random()));
			logger.error({event: 'promotion-failed', kind: result.error.kind, message: result.error.message});
			events.promotionFailed(database, result.error.kind);
			this.#failedKind = result.error.kind;
			return;
		}

		const report: PromotionReport & {detectionMs: number} = {...result.value, detectionMs: startMs - lostSinceMs};
		logger.info({event: 'primary-promoted', ...report});
		events.promotion(report);
		this.#failedKind = undefined;
		this.#notBeforeMs = timers.nowMs() + this.options.policy.detectionMs;
	}

	/** Planned change: holds writes back, waits for a replica to catch up, then promotes it. */
	async #replaceLeaving(primary: Instance): Promise<void> {
		const {timers, policy} = this.options;
		primary.admission.pause();
		const endMs = timers.nowMs() + catchUpMs;
		while (timers.nowMs() < endMs && !this.#hasCaughtUpReplica(primary)) {
			await timers.sleep(checkIntervalMs / 5);
		}

		if (this.#hasCaughtUpReplica(primary)) {
			await this.#promote('leaving', timers.nowMs());
		} else {
			this.#notBeforeMs = timers.nowMs() + policy.detectionMs;
		}

		primary.admission.resume(0);
	}

	#hasCaughtUpReplica(primary: Instance): boolean {
		const target = primary.monitor.health.status;
		return target !== undefined && [...this.state.instances.values()].some(instance =>
			instance !== primary
			&& !this.state.isLeaving(instance)
			&& instance.monitor.health.status?.verifiedTerm === target.verifiedTerm
			&& comparePositions(instance.monitor.health.status.received, target.received) >= 0);
	}

	/** Members that missed the last change of primary are told of it again. */
	#repair(): void {
		const {primary, tracker} = this.state;
		if (!primary || this.#busy || !this.options.isActing()) {
			return;
		}

		for (const {member} of [...this.state.instances.values()]
			.filter(instance => instance !== primary && this.#needsFollow(instance))) {
			this.options.logger.info({event: 'member-told-to-follow', memberId: member.memberId, term: tracker.term});
			void this.options.connector.follow(this.options.database, member, tracker.term, primary.member);
		}
	}

	#needsFollow({monitor}: Instance): boolean {
		const {status, monitorUp} = monitor.health;
		if (!status || !monitorUp || status.fencedTerm > this.state.tracker.term) {
			return false;
		}

		return status.role === 'primary' || status.fencedTerm < this.state.tracker.term
			|| (status.verifiedTerm < this.state.tracker.term && !status.primaryContact);
	}
}
