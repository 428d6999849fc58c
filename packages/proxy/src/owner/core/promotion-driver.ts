import {
	comparePositions, evaluateFailureEvidence, type FailureEvidence, type GroupMember, type PromotionReport, type TimerSubscription,
} from '@dogwoodthread/coordination';
import {type OwnerOptions} from '../definitions.js';
import {type GroupState, type Instance} from './group-state.js';

const checkIntervalMs = 50;

/** Time for which an observation from another failure domain stays valid. */
const observationTtlMs = 1000;

/** Interval at which members that missed a change of primary are told again to follow it. */
const followIntervalMs = 500;

/** Minimum delay after a failed promotion, so that two promoters do not keep fencing each other. */
const retryDelayMs = 500;

/** Maximum wait for a replica to catch up before a planned change of primary. */
const maxCatchUpMs = 2000;

/** Monitors the group while this proxy is the acting owner: replaces a failed or leaving primary and makes members follow the current one. */
export class PromotionDriver {
	#isBusy = false;
	#lastObservation: {memberId: string; isUnreachable: boolean; atMs: number} | undefined;
	#isObservationPending = false;
	#nextAttemptAtMs = 0;
	#lastFailureKind: string | undefined;
	readonly #subscriptions: TimerSubscription[] = [];

	constructor(private readonly options: OwnerOptions, private readonly state: GroupState) {}

	/** Why the last promotion failed; undefined once one succeeds or none is needed any more. */
	get lastFailureKind(): string | undefined {
		return this.#lastFailureKind;
	}

	start(): void {
		const {timers} = this.options;
		this.#subscriptions.push(
			timers.every(checkIntervalMs, () => {
				void this.#check();
			}),
			timers.every(followIntervalMs, () => {
				this.#sendFollowCommands();
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
		if (this.#isBusy || !isActing() || timers.nowMs() < this.#nextAttemptAtMs) {
			return;
		}

		this.#isBusy = true;
		try {
			const evidence = this.#evaluateFailure();
			if (evidence !== 'none') {
				await this.#promote(evidence, this.state.primaryLostSinceMs ?? timers.nowMs() - this.options.policy.detectionMs);
			} else if (this.state.primary && this.state.isLeaving(this.state.primary)) {
				await this.#replaceLeavingPrimary(this.state.primary);
			} else {
				this.#lastFailureKind = undefined;
			}
		} finally {
			this.#isBusy = false;
		}
	}

	#evaluateFailure(): FailureEvidence | 'no-primary' {
		const {timers, policy, members} = this.options;
		const nowMs = timers.nowMs();
		const {lastPrimary} = this.state;
		const others = [...this.state.instances.values()].filter(instance => instance !== lastPrimary && instance.monitor.health.isMonitorUp);
		const unreachableSinceMs = lastPrimary?.monitor.health.unreachableSinceMs;
		if (lastPrimary && unreachableSinceMs !== undefined && nowMs - unreachableSinceMs >= policy.detectionMs / 2) {
			void this.#observeFromOtherDomain(lastPrimary.member);
		}

		const evidence = evaluateFailureEvidence({
			nowMs,
			detectionMs: policy.detectionMs,
			groupSize: members.length,
			primaryUnreachableSinceMs: unreachableSinceMs,
			isConfirmedByOtherDomain: lastPrimary !== undefined && this.#isUnreachableFromOtherDomain(lastPrimary.member),
			replicas: others.map(({monitor}) => ({contactLostSinceMs: monitor.health.contactLostSinceMs})),
		});
		return evidence === 'none' && this.#isPromotionUnfinished(others, lastPrimary, nowMs) ? 'no-primary' : evidence;
	}

	/** Whether an earlier promotion fenced members of the group but did not finish. */
	#isPromotionUnfinished(others: readonly Instance[], lastPrimary: Instance | undefined, nowMs: number): boolean {
		const {primaryLostSinceMs, tracker} = this.state;
		const fenced = [...others, ...lastPrimary?.monitor.health.isMonitorUp ? [lastPrimary] : []]
			.filter(({monitor}) => (monitor.health.status?.fencedTerm ?? 0) > tracker.term);
		return primaryLostSinceMs !== undefined
			&& nowMs - primaryLostSinceMs >= this.options.policy.detectionMs
			&& fenced.length > 0;
	}

	#isUnreachableFromOtherDomain({memberId}: GroupMember): boolean {
		const observation = this.#lastObservation;
		return observation?.memberId === memberId
			&& observation.isUnreachable
			&& this.options.timers.nowMs() - observation.atMs < observationTtlMs;
	}

	async #observeFromOtherDomain(member: GroupMember): Promise<void> {
		const {timers, reachabilityObserver, database} = this.options;
		const lastObservation = this.#lastObservation;
		if (this.#isObservationPending || (lastObservation?.memberId === member.memberId && timers.nowMs() - lastObservation.atMs < observationTtlMs / 2)) {
			return;
		}

		this.#isObservationPending = true;
		const observation = await reachabilityObserver.observe(database, member);
		this.#lastObservation = {memberId: member.memberId, isUnreachable: observation === 'unreachable', atMs: timers.nowMs()};
		this.#isObservationPending = false;
	}

	async #promote(evidence: FailureEvidence | 'no-primary' | 'leaving', lostSinceMs: number): Promise<void> {
		const {database, promotePrimary, timers, logger, events} = this.options;
		const replacedMemberId = this.state.lastPrimary?.member.memberId ?? '';
		const startMs = timers.nowMs();
		logger.warn({
			event: 'promotion-started', evidence, replaces: replacedMemberId, term: this.state.tracker.term,
		});
		const result = await promotePrimary.run({
			database,
			replaces: replacedMemberId,
			observedTerm: this.state.tracker.term,
			avoidedMemberIds: evidence === 'leaving' ? [replacedMemberId] : [],
			excludedMemberIds: evidence === 'isolated' ? [replacedMemberId] : [],
		});
		if (result.isErr()) {
			this.#nextAttemptAtMs = timers.nowMs() + (retryDelayMs * (1 + this.options.random()));
			logger.error({event: 'promotion-failed', kind: result.error.kind, message: result.error.message});
			events.recordPromotionFailure(database, result.error.kind);
			this.#lastFailureKind = result.error.kind;
			return;
		}

		const report: PromotionReport & {detectionMs: number} = {...result.value, detectionMs: startMs - lostSinceMs};
		logger.info({event: 'primary-promoted', ...report});
		events.recordPromotion(report);
		this.#lastFailureKind = undefined;
		this.#nextAttemptAtMs = timers.nowMs() + this.options.policy.detectionMs;
	}

	/** Planned change of primary: pauses admission, waits for a replica to catch up, then promotes it. */
	async #replaceLeavingPrimary(primary: Instance): Promise<void> {
		const {timers, policy} = this.options;
		primary.admission.pause();
		const endMs = timers.nowMs() + maxCatchUpMs;
		while (timers.nowMs() < endMs && !this.#hasCaughtUpReplica(primary)) {
			await timers.sleep(checkIntervalMs / 5);
		}

		if (this.#hasCaughtUpReplica(primary)) {
			await this.#promote('leaving', timers.nowMs());
		} else {
			this.#nextAttemptAtMs = timers.nowMs() + policy.detectionMs;
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

	/** Tells members that missed the last change of primary to follow the current one. */
	#sendFollowCommands(): void {
		const {primary, tracker} = this.state;
		if (!primary || this.#isBusy || !this.options.isActing()) {
			return;
		}

		for (const {member} of [...this.state.instances.values()]
			.filter(instance => instance !== primary && this.#needsFollow(instance))) {
			this.options.logger.info({event: 'member-told-to-follow', memberId: member.memberId, term: tracker.term});
			void this.options.connector.follow(this.options.database, member, tracker.term, primary.member);
		}
	}

	#needsFollow({monitor}: Instance): boolean {
		const {status, isMonitorUp} = monitor.health;
		if (!status || !isMonitorUp || status.fencedTerm > this.state.tracker.term) {
			return false;
		}

		return status.role === 'primary' || status.fencedTerm < this.state.tracker.term
			|| (status.verifiedTerm < this.state.tracker.term && !status.primaryContact);
	}
}
