import {type MemberStatus, ReplicaSelector} from '@dogwoodthread/coordination';
import {type ExecuteResponse} from '@dogwoodthread/protocol';
import {type Completion} from '../../endpoint/index.js';
import {
	mergeRetryOutcome, briefRetryAfterMs, isNotRunCode, notRun, unknown,
} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {type ConfirmationGate} from './confirmation-gate.js';
import {getResponseTimeoutMs, type ExecutionContext, getRemainingMs} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';
import {LatencyEstimate} from './latency-estimate.js';
import {toUnknownCode, buildRefusalResponse} from './write-execution.js';

/** A read changes nothing, so it may be retried at another instance. */
type AttemptResult =
	| {kind: 'final'; response: ExecuteResponse}
	| {kind: 'retry'; response: ExecuteResponse};

const maxAttempts = 3;

/** Maximum wait for a replica that has nearly caught up, since a read at the primary would take a slot that writes need. */
const maxReplicaWaitMs = 60;

const replicaPollIntervalMs = 5;

/** Runs reads at an eligible replica, or else at the primary. */
export class ReadExecution {
	readonly #selector: ReplicaSelector;
	readonly #latencyEstimates = new Map<string, LatencyEstimate>();

	constructor(private readonly options: OwnerOptions, private readonly state: GroupState, private readonly confirmationGate: ConfirmationGate) {
		const {timers, random, failureDomain} = options;
		this.#selector = new ReplicaSelector({timers, random, failureDomain});
	}

	async execute(context: ExecutionContext): Promise<ExecuteResponse> {
		const triedMemberIds = new Set<string>();
		// The attempts of one read share a single wait.
		const waitUntilMs = Math.min(this.options.timers.nowMs() + maxReplicaWaitMs, context.deadlineMs);
		let lastResponse = notRun('no-instance', 'The read did not run.', briefRetryAfterMs * (1 + this.options.random()));
		for (let attempt = 0; attempt < maxAttempts && getRemainingMs(context, this.options.timers) > 0; attempt += 1) {
			const instance = await this.#chooseInstance(context, triedMemberIds, waitUntilMs);
			if (!instance) {
				return lastResponse;
			}

			const result = await this.#attempt(context, instance);
			lastResponse = mergeRetryOutcome(lastResponse, result.response);
			if (result.kind === 'final') {
				return lastResponse;
			}

			triedMemberIds.add(instance.member.memberId);
		}

		return lastResponse;
	}

	/** Chooses an eligible replica, waiting briefly if one has nearly caught up; otherwise the primary. */
	async #chooseInstance(context: ExecutionContext, triedMemberIds: ReadonlySet<string>, waitUntilMs: number): Promise<Instance | undefined> {
		const {timers} = this.options;
		for (;;) {
			const replica = this.#chooseReplica(context, triedMemberIds);
			if (replica) {
				return replica;
			}

			if (timers.nowMs() >= waitUntilMs || !this.#isReplicaNearlyCaughtUp(triedMemberIds)) {
				break;
			}

			await timers.sleep(replicaPollIntervalMs);
		}

		const {primary} = this.state;
		return primary && !this.state.isLeaving(primary) && !triedMemberIds.has(primary.member.memberId) ? primary : undefined;
	}

	#chooseReplica(context: ExecutionContext, triedMemberIds: ReadonlySet<string>): Instance | undefined {
		const candidates = this.#findReplicas(triedMemberIds).map(({member, monitor, admission}) => ({
			memberId: member.memberId,
			failureDomain: member.failureDomain,
			isEligible: this.#isEligible(monitor.health.status!, context),
			ageBoundMs: this.state.ageBoundMs(monitor.health.status!) ?? Number.POSITIVE_INFINITY,
			inFlight: admission.queued + admission.running,
			latencyMs: this.#getLatencyEstimate(member.memberId).valueMs,
		}));
		const choice = this.#selector.select(candidates, context.maxAgeMs);
		return choice && this.state.instances.get(choice.memberId);
	}

	#getLatencyEstimate(memberId: string): LatencyEstimate {
		const estimate = this.#latencyEstimates.get(memberId) ?? new LatencyEstimate();
		this.#latencyEstimates.set(memberId, estimate);
		return estimate;
	}

	#findReplicas(triedMemberIds: ReadonlySet<string>): Instance[] {
		return [...this.state.instances.values()].filter(instance =>
			instance.monitor.health.status?.role === 'replica'
			&& instance.monitor.health.isMonitorUp
			&& !this.state.isLeaving(instance)
			&& !triedMemberIds.has(instance.member.memberId));
	}

	#isEligible(status: MemberStatus, {token}: ExecutionContext): boolean {
		const {tracker} = this.state;
		if (status.verifiedTerm !== tracker.term || (token && token.term > tracker.term)) {
			return false;
		}

		// A log that is verified against the current term holds every entry confirmed in earlier terms, so
		// comparing the index is enough to tell whether the replica has applied the token's position.
		return !token || status.applied.index >= token.index;
	}

	#isReplicaNearlyCaughtUp(triedMemberIds: ReadonlySet<string>): boolean {
		return this.#findReplicas(triedMemberIds).some(({monitor}) => {
			const {status} = monitor.health;
			return status?.verifiedTerm === this.state.tracker.term
				&& (this.state.ageBoundMs(status) ?? Number.POSITIVE_INFINITY) <= maxReplicaWaitMs + 200;
		});
	}

	async #attempt(context: ExecutionContext, instance: Instance): Promise<AttemptResult> {
		const admission = await instance.admission.admit({
			callerId: context.request.callerId,
			statementName: context.statementName,
			workClass: context.workClass,
			deadlineMs: context.deadlineMs,
		});
		if (admission.isErr()) {
			const {kind, message, retryAfterMs} = admission.error;
			return {kind: 'final', response: notRun(isNotRunCode(kind) ? kind : 'overloaded', message, retryAfterMs)};
		}

		const permit = admission.value;
		const timeoutMs = getResponseTimeoutMs(context, permit.workClass, this.options);
		const lease = await instance.pool.acquire(timeoutMs);
		if (lease.isErr()) {
			permit.release('failed');
			return {kind: 'retry', response: notRun('no-connection', lease.error.message, briefRetryAfterMs)};
		}

		const sentAtMs = this.options.timers.nowMs();
		// Waiting for the connection may have used part of the time, so the timeout is computed again.
		const reply = await lease.value.execute({
			term: 0, statement: context.request.statement!, access: 'read',
		}, getResponseTimeoutMs(context, permit.workClass, this.options));
		this.#getLatencyEstimate(instance.member.memberId).add(this.options.timers.nowMs() - sentAtMs);
		instance.pool.releaseAfterStatement(lease.value, reply);
		permit.release(reply.kind === 'completed' ? 'completed' : (reply.kind === 'lost' ? 'timeout' : 'failed'));
		switch (reply.kind) {
			case 'completed': {
				return this.#finishCompletedRead(reply.completion, context, instance);
			}

			case 'refused': {
				const response = buildRefusalResponse(reply, this.options.random);
				return {kind: reply.code === 'connection-closed' ? 'retry' : 'final', response};
			}

			case 'lost': {
				return {kind: 'retry', response: unknown(toUnknownCode(reply.reason), undefined, 'read')};
			}
		}
	}

	async #finishCompletedRead(completion: Completion, context: ExecutionContext, instance: Instance): Promise<AttemptResult> {
		const {token} = context;
		const {position, verifiedTerm} = completion;
		const isBehindToken = token !== undefined && (verifiedTerm < token.term || position.index < token.index);
		if (isBehindToken) {
			return this.#finishStaleRead(context, instance, verifiedTerm);
		}

		const confirmation = await this.confirmationGate.waitForConfirmation(completion, context.deadlineMs);
		if (confirmation === 'confirmed') {
			return {kind: 'final', response: this.confirmationGate.buildDoneResponse(completion, token, instance)};
		}

		return {kind: 'retry', response: unknown('confirmation-timeout', undefined, 'read')};
	}

	/** Handles a response from an instance that is behind the session token; the primary of the token's term never should be. */
	#finishStaleRead({token}: ExecutionContext, {member}: Instance, verifiedTerm: number): AttemptResult {
		const isAtPrimary = member.memberId === this.state.primary?.member.memberId;
		return isAtPrimary && verifiedTerm >= token!.term
			? {kind: 'final', response: unknown('session-token-ahead', undefined, 'read')}
			: {kind: 'retry', response: unknown('confirmation-timeout', undefined, 'read')};
	}
}
