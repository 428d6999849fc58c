import {type MemberStatus, ReplicaSelector} from '@dogwoodthread/coordination';
import {type ExecuteResponse} from '@dogwoodthread/protocol';
import {type Completion} from '../../endpoint/index.js';
import {
	afterRetry, briefRetryAfterMs, isNotRunCode, notRun, unknown,
} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {type AnswerRelease} from './answer-release.js';
import {answerTimeoutMs, type ExecutionContext, remainingMs} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';
import {LatencyEstimate} from './latency-estimate.js';
import {lostCode, refusedByEndpoint} from './write-execution.js';

/** A read may be tried again: it changes nothing. */
type Attempt =
	| {kind: 'final'; response: ExecuteResponse}
	| {kind: 'retry'; response: ExecuteResponse};

const maxAttempts = 3;

/** Replicas within this lag are waited for; a read at the primary would take a slot that writes need. */
const replicaWaitMs = 60;

const replicaPollMs = 5;

/** Runs reads at an eligible replica, or at the primary. */
export class ReadExecution {
	readonly #selector: ReplicaSelector;
	readonly #latencies = new Map<string, LatencyEstimate>();

	constructor(private readonly options: OwnerOptions, private readonly state: GroupState, private readonly release: AnswerRelease) {
		const {timers, random, failureDomain} = options;
		this.#selector = new ReplicaSelector({timers, random, failureDomain});
	}

	async execute(context: ExecutionContext): Promise<ExecuteResponse> {
		const tried = new Set<string>();
		// One wait for each read, however often it is tried.
		const waitUntilMs = Math.min(this.options.timers.nowMs() + replicaWaitMs, context.deadlineMs);
		let last = notRun('no-instance', 'The read did not run.', briefRetryAfterMs * (1 + this.options.random()));
		for (let attempt = 0; attempt < maxAttempts && remainingMs(context, this.options.timers) > 0; attempt += 1) {
			const instance = await this.#chooseInstance(context, tried, waitUntilMs);
			if (!instance) {
				return last;
			}

			const result = await this.#attempt(context, instance);
			last = afterRetry(last, result.response);
			if (result.kind === 'final') {
				return last;
			}

			tried.add(instance.member.memberId);
		}

		return last;
	}

	/** An eligible replica, after a short wait if one is about to become eligible, else the primary. */
	async #chooseInstance(context: ExecutionContext, tried: ReadonlySet<string>, waitUntilMs: number): Promise<Instance | undefined> {
		const {timers} = this.options;
		for (;;) {
			const replica = this.#chooseReplica(context, tried);
			if (replica) {
				return replica;
			}

			if (timers.nowMs() >= waitUntilMs || !this.#isReplicaClose(tried)) {
				break;
			}

			await timers.sleep(replicaPollMs);
		}

		const {primary} = this.state;
		return primary && !this.state.isLeaving(primary) && !tried.has(primary.member.memberId) ? primary : undefined;
	}

	#chooseReplica(context: ExecutionContext, tried: ReadonlySet<string>): Instance | undefined {
		const candidates = this.#replicas(tried).map(({member, monitor, admission}) => ({
			memberId: member.memberId,
			failureDomain: member.failureDomain,
			isEligible: this.#isEligible(monitor.health.status!, context),
			ageBoundMs: this.state.ageBoundMs(monitor.health.status!) ?? Number.POSITIVE_INFINITY,
			inFlight: admission.queued + admission.running,
			latencyMs: this.#latency(member.memberId).valueMs,
		}));
		const choice = this.#selector.select(candidates, context.maxAgeMs);
		return choice && this.state.instances.get(choice.memberId);
	}

	#latency(memberId: string): LatencyEstimate {
		const known = this.#latencies.get(memberId) ?? new LatencyEstimate();
		this.#latencies.set(memberId, known);
		return known;
	}

	#replicas(tried: ReadonlySet<string>): Instance[] {
		return [...this.state.instances.values()].filter(instance =>
			instance.monitor.health.status?.role === 'replica'
			&& instance.monitor.health.monitorUp
			&& !this.state.isLeaving(instance)
			&& !tried.has(instance.member.memberId));
	}

	#isEligible(status: MemberStatus, {token}: ExecutionContext): boolean {
		const {tracker} = this.state;
		if (status.verifiedTerm !== tracker.term || (token && token.term > tracker.term)) {
			return false;
		}

		// A log that is verified against the current term holds all that was confirmed in earlier terms, so
		// the index alone tells whether it has what the token stands for.
		return !token || status.applied.index >= token.index;
	}

	#isReplicaClose(tried: ReadonlySet<string>): boolean {
		return this.#replicas(tried).some(({monitor}) => {
			const {status} = monitor.health;
			return status?.verifiedTerm === this.state.tracker.term
				&& (this.state.ageBoundMs(status) ?? Number.POSITIVE_INFINITY) <= replicaWaitMs + 200;
		});
	}

	async #attempt(context: ExecutionContext, instance: Instance): Promise<Attempt> {
		const admitted = await instance.admission.admit({
			callerId: context.request.callerId,
			statementName: context.statementName,
			workClass: context.workClass,
			deadlineMs: context.deadlineMs,
		});
		if (admitted.isErr()) {
			const {kind, message, retryAfterMs} = admitted.error;
			return {kind: 'final', response: notRun(isNotRunCode(kind) ? kind : 'overloaded', message, retryAfterMs)};
		}

		const permit = admitted.value;
		const timeoutMs = answerTimeoutMs(context, permit.workClass, this.options);
		const lease = await instance.pool.acquire(timeoutMs);
		if (lease.isErr()) {
			permit.release('failed');
			return {kind: 'retry', response: notRun('no-connection', lease.error.message, briefRetryAfterMs)};
		}

		const sentAtMs = this.options.timers.nowMs();
		// Waiting for the connection may have taken a part of the time.
		const reply = await lease.value.connection.execute({
			term: 0, statement: context.request.statement!, access: 'read',
		}, answerTimeoutMs(context, permit.workClass, this.options));
		this.#latency(instance.member.memberId).add(this.options.timers.nowMs() - sentAtMs);
		instance.pool.giveBack(lease.value, reply);
		permit.release(reply.kind === 'completed' ? 'completed' : (reply.kind === 'lost' ? 'timeout' : 'failed'));
		switch (reply.kind) {
			case 'completed': {
				return this.#conclude(reply.completion, context, instance);
			}

			case 'refused': {
				const response = refusedByEndpoint(reply, this.options.random);
				return {kind: reply.code === 'connection-closed' ? 'retry' : 'final', response};
			}

			case 'lost': {
				return {kind: 'retry', response: unknown(lostCode(reply.reason), undefined, 'read')};
			}
		}
	}

	async #conclude(completion: Completion, context: ExecutionContext, instance: Instance): Promise<Attempt> {
		const {token} = context;
		const {position, verifiedTerm} = completion;
		const behind = token !== undefined && (verifiedTerm < token.term || position.index < token.index);
		if (behind) {
			return this.#concludeBehind(context, instance, verifiedTerm);
		}

		const confirmation = await this.release.waitForConfirmation(completion, context.deadlineMs);
		if (confirmation === 'confirmed') {
			return {kind: 'final', response: this.release.buildDone(completion, token, instance)};
		}

		return {kind: 'retry', response: unknown('confirmation-timeout', undefined, 'read')};
	}

	/** The instance lacks what the session has seen. The primary of the token's term never does. */
	#concludeBehind({token}: ExecutionContext, {member}: Instance, verifiedTerm: number): Attempt {
		const atPrimary = member.memberId === this.state.primary?.member.memberId;
		return atPrimary && verifiedTerm >= token!.term
			? {kind: 'final', response: unknown('session-token-ahead', undefined, 'read')}
			: {kind: 'retry', response: unknown('confirmation-timeout', undefined, 'read')};
	}
}
