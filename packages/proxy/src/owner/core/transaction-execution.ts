import {create} from '@bufbuild/protobuf';
import {
	type Begin, type Commit, type ExecuteResponse, ExecuteRequestSchema, type StepExecute, type TransactRequest,
	type TransactResponse, TransactResponseSchema, Access,
} from '@dogwoodthread/protocol';
import {type Result} from 'neverthrow';
import {type EndpointReply} from '../../endpoint/index.js';
import {
	briefRetryAfterMs, done, notRun, unknown,
} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {type AnswerRelease} from './answer-release.js';
import {type PooledConnection} from './connection-pool.js';
import {answerTimeoutMs, type ExecutionContext} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';
import {lostCode, refusedByEndpoint, type WriteExecution} from './write-execution.js';

type Step = NonNullable<TransactRequest['step']['case']>;
type StepRequest = TransactRequest['step'];

/** A transaction with its connection to the primary. */
type OpenTransaction = {
	instance: Instance;
	lease: PooledConnection;
	context: ExecutionContext;
};

const answer = (stepId: bigint, response: ExecuteResponse, ended: boolean): TransactResponse =>
	create(TransactResponseSchema, {stepId, response, ended});

/**
 * Runs one transaction, step by step, on one connection that nobody else uses meanwhile. The connection
 * goes back to the pool only after the instance confirmed the commit or the rollback; else it is closed.
 */
export class TransactionExecution {
	constructor(
		private readonly options: OwnerOptions,
		private readonly state: GroupState,
		private readonly release: AnswerRelease,
		private readonly writes: WriteExecution,
	) {}

	/** Answers each step until the transaction ends or `steps` does. */
	async * run(steps: AsyncIterable<TransactRequest>, createContext: (begin: Begin) => Result<ExecutionContext, ExecuteResponse>): AsyncIterable<TransactResponse> {
		let open: OpenTransaction | undefined;
		try {
			for await (const {step} of this.#withIdleLimit(steps)) {
				if (step.case === 'begin' && !open) {
					const begun = await this.#begin(createContext(step.value));
					open = begun.open;
					yield answer(0n, begun.response, open === undefined);
				} else if (open && step.case !== undefined && step.case !== 'begin') {
					const result = await this.#runStep(open, step);
					open = result.ended ? undefined : open;
					yield result;
				} else {
					yield answer(0n, notRun('invalid-request', `Step ${step.case ?? '(none)'} is not allowed here; begin once, then execute, commit or roll back.`, 0), true);
					return;
				}

				if (!open) {
					return;
				}
			}
		} finally {
			// The stream ended, the idle limit passed, or the caller went away: nothing of it may remain.
			if (open) {
				await this.#abandon(open);
			}
		}
	}

	async #begin(checked: Result<ExecutionContext, ExecuteResponse>): Promise<{open: OpenTransaction | undefined; response: ExecuteResponse}> {
		if (checked.isErr()) {
			return {open: undefined, response: checked.error};
		}

		const context = checked.value;
		const refusal = this.writes.refuseNewWrite(context.token);
		if (refusal) {
			return {open: undefined, response: refusal};
		}

		const instance = this.state.primary!;
		const timeoutMs = answerTimeoutMs(context, 'short', this.options);
		const lease = await instance.pool.acquire(timeoutMs);
		if (lease.isErr()) {
			return {open: undefined, response: notRun('no-connection', lease.error.message, briefRetryAfterMs)};
		}

		const reply = await lease.value.connection.begin(this.state.tracker.term, timeoutMs);
		if (reply.kind === 'completed') {
			return {open: {instance, lease: lease.value, context}, response: done(emptyDone(instance))};
		}

		instance.pool.discard(lease.value);
		// Begin changes nothing, so a lost answer to it means that nothing ran.
		return {
			open: undefined,
			response: reply.kind === 'refused'
				? refusedByEndpoint(reply, this.options.random)
				: notRun('no-connection', 'The transaction did not begin.', briefRetryAfterMs),
		};
	}

	async #runStep(open: OpenTransaction, step: StepRequest): Promise<TransactResponse> {
		switch (step.case as Exclude<Step, 'begin'>) {
			case 'execute': {
				return this.#execute(open, step.value as StepExecute);
			}

			case 'commit': {
				return this.#commit(open, step.value as Commit);
			}

			case 'rollback': {
				return answer((step.value as Commit).stepId, await this.#rollback(open), true);
			}
		}
	}

	async #execute(open: OpenTransaction, {stepId, statement, access}: StepExecute): Promise<TransactResponse> {
		const {instance, lease, context} = open;
		if (!statement) {
			await this.#abandon(open);
			return answer(stepId, notRun('invalid-request', 'The step has no statement.', 0), true);
		}

		const admitted = await instance.admission.admit({
			callerId: context.request.callerId,
			statementName: statement.name,
			workClass: context.workClass ?? this.options.policy.workClassOf(statement.name),
			deadlineMs: context.deadlineMs,
		});
		if (admitted.isErr()) {
			await this.#abandon(open);
			return answer(stepId, notRun('overloaded', admitted.error.message, admitted.error.retryAfterMs), true);
		}

		const permit = admitted.value;
		const reply = await lease.connection.execute({
			term: this.state.tracker.term, statement, access: access === Access.READ ? 'read' : 'write',
		}, answerTimeoutMs(context, permit.workClass, this.options));
		permit.release(reply.kind === 'completed' ? 'completed' : (reply.kind === 'lost' ? 'timeout' : 'failed'));
		if (reply.kind === 'completed') {
			return this.#releaseStep(open, stepId, reply);
		}

		await this.#abandon(open);
		// Without a commit the instance rolls back, so the transaction as a whole did not run.
		return answer(stepId, notRun('transaction-ended', 'The step got no answer and the transaction was rolled back.', briefRetryAfterMs), true);
	}

	async #releaseStep(open: OpenTransaction, stepId: bigint, {completion}: Extract<EndpointReply, {kind: 'completed'}>): Promise<TransactResponse> {
		const confirmation = await this.release.waitForConfirmation(completion, open.context.deadlineMs);
		if (confirmation === 'confirmed') {
			return answer(stepId, this.release.buildDone(completion, open.context.token, open.instance), false);
		}

		await this.#abandon(open);
		return answer(stepId, notRun('transaction-ended', 'The data that the step saw is not confirmed by a majority; the transaction was rolled back.', briefRetryAfterMs), true);
	}

	async #commit({instance, lease, context}: OpenTransaction, {stepId, requestKey}: Commit): Promise<TransactResponse> {
		const reply = await lease.connection.commit(requestKey, answerTimeoutMs(context, 'short', this.options));
		switch (reply.kind) {
			case 'completed': {
				instance.pool.release(lease);
				const keyed = {...context, request: create(ExecuteRequestSchema, {...context.request, requestKey})};
				return answer(stepId, await this.release.releaseWrite(reply.completion, keyed, instance), true);
			}

			case 'refused': {
				instance.pool.discard(lease);
				return answer(stepId, refusedByEndpoint(reply, this.options.random), true);
			}

			case 'lost': {
				instance.pool.discard(lease);
				return answer(stepId, unknown(lostCode(reply.reason), requestKey), true);
			}
		}
	}

	async #rollback(open: OpenTransaction): Promise<ExecuteResponse> {
		await this.#abandon(open);
		return done(emptyDone(open.instance));
	}

	async #abandon({instance, lease}: OpenTransaction): Promise<void> {
		const reply = await lease.connection.rollback(this.options.policy.connectTimeoutMs);
		if (reply.kind === 'completed') {
			instance.pool.release(lease);
		} else {
			instance.pool.discard(lease);
		}
	}

	/** Ends the iteration when the next step does not come in time. */
	async * #withIdleLimit(steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactRequest> {
		const {timers, policy} = this.options;
		const iterator = steps[Symbol.asyncIterator]();
		const endMs = timers.nowMs() + policy.transactionTimeoutMs;
		for (;;) {
			const limitMs = Math.min(policy.transactionIdleMs, endMs - timers.nowMs());
			let cancel: (() => void) | undefined;
			const expired = new Promise<undefined>(resolve => {
				const subscription = timers.after(Math.max(0, limitMs), () => {
					resolve(undefined);
				});
				cancel = () => {
					subscription.cancel();
				};
			});
			const next = await Promise.race([iterator.next(), expired]);
			cancel?.();
			if (!next || next.done) {
				return;
			}

			yield next.value;
		}
	}
}

const emptyDone = ({member}: Instance) => ({
	rows: [], sessionToken: '', repeated: false, servedBy: member.memberId, byReplica: false, ageBoundMs: 0,
});
