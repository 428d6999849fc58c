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
import {type ConfirmationGate} from './confirmation-gate.js';
import {type ConnectionLease} from './connection-lease.js';
import {getResponseTimeoutMs, type ExecutionContext} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';
import {toUnknownCode, buildRefusalResponse, type WriteExecution} from './write-execution.js';

type Step = NonNullable<TransactRequest['step']['case']>;
type StepRequest = TransactRequest['step'];

/** An open transaction and the connection to the primary that it holds. */
type OpenTransaction = {
	instance: Instance;
	lease: ConnectionLease;
	context: ExecutionContext;
};

const buildStepResponse = (stepId: bigint, response: ExecuteResponse, ended: boolean): TransactResponse =>
	create(TransactResponseSchema, {stepId, response, ended});

/**
 * Runs the steps of one transaction on a connection reserved for it. The connection returns to the pool
 * only after the instance has confirmed the commit or rollback; otherwise it is closed.
 */
export class TransactionExecution {
	constructor(
		private readonly options: OwnerOptions,
		private readonly state: GroupState,
		private readonly confirmationGate: ConfirmationGate,
		private readonly writes: WriteExecution,
	) {}

	/** Responds to each step until the transaction or the `steps` stream ends. */
	async * run(steps: AsyncIterable<TransactRequest>, createContext: (begin: Begin) => Result<ExecutionContext, ExecuteResponse>): AsyncIterable<TransactResponse> {
		let transaction: OpenTransaction | undefined;
		try {
			for await (const {step} of this.#withTimeLimits(steps)) {
				if (step.case === 'begin' && !transaction) {
					const beginResult = await this.#begin(createContext(step.value));
					transaction = beginResult.transaction;
					yield buildStepResponse(0n, beginResult.response, transaction === undefined);
				} else if (transaction && step.case !== undefined && step.case !== 'begin') {
					const result = await this.#runStep(transaction, step);
					transaction = result.ended ? undefined : transaction;
					yield result;
				} else {
					yield buildStepResponse(0n, notRun('invalid-request', `Step ${step.case ?? '(none)'} is not allowed here; begin once, then execute, commit or roll back.`, 0), true);
					return;
				}

				if (!transaction) {
					return;
				}
			}
		} finally {
			// The stream ended, a time limit expired, or the caller disconnected: no uncommitted change may remain.
			if (transaction) {
				await this.#rollBackAndReturn(transaction);
			}
		}
	}

	async #begin(contextResult: Result<ExecutionContext, ExecuteResponse>): Promise<{transaction: OpenTransaction | undefined; response: ExecuteResponse}> {
		if (contextResult.isErr()) {
			return {transaction: undefined, response: contextResult.error};
		}

		const context = contextResult.value;
		const refusal = this.writes.findWriteRefusal(context.token);
		if (refusal) {
			return {transaction: undefined, response: refusal};
		}

		const instance = this.state.primary!;
		const timeoutMs = getResponseTimeoutMs(context, 'short', this.options);
		const lease = await instance.pool.acquire(timeoutMs);
		if (lease.isErr()) {
			return {transaction: undefined, response: notRun('no-connection', lease.error.message, briefRetryAfterMs)};
		}

		const reply = await lease.value.begin(this.state.tracker.term, timeoutMs);
		if (reply.kind === 'completed') {
			return {transaction: {instance, lease: lease.value, context}, response: done(buildEmptyDone(instance))};
		}

		instance.pool.discard(lease.value);
		// Begin changes nothing, so nothing ran even if its response was lost.
		return {
			transaction: undefined,
			response: reply.kind === 'refused'
				? buildRefusalResponse(reply, this.options.random)
				: notRun('no-connection', 'The transaction did not begin.', briefRetryAfterMs),
		};
	}

	async #runStep(transaction: OpenTransaction, step: StepRequest): Promise<TransactResponse> {
		switch (step.case as Exclude<Step, 'begin'>) {
			case 'execute': {
				return this.#execute(transaction, step.value as StepExecute);
			}

			case 'commit': {
				return this.#commit(transaction, step.value as Commit);
			}

			case 'rollback': {
				return buildStepResponse((step.value as Commit).stepId, await this.#rollback(transaction), true);
			}
		}
	}

	async #execute(transaction: OpenTransaction, {stepId, statement, access}: StepExecute): Promise<TransactResponse> {
		const {instance, lease, context} = transaction;
		if (!statement) {
			await this.#rollBackAndReturn(transaction);
			return buildStepResponse(stepId, notRun('invalid-request', 'The step has no statement.', 0), true);
		}

		const admission = await instance.admission.admit({
			callerId: context.request.callerId,
			statementName: statement.name,
			workClass: context.workClass ?? this.options.policy.findWorkClass(statement.name),
			deadlineMs: context.deadlineMs,
		});
		if (admission.isErr()) {
			await this.#rollBackAndReturn(transaction);
			return buildStepResponse(stepId, notRun('overloaded', admission.error.message, admission.error.retryAfterMs), true);
		}

		const permit = admission.value;
		const reply = await lease.execute({
			term: this.state.tracker.term, statement, access: access === Access.READ ? 'read' : 'write',
		}, getResponseTimeoutMs(context, permit.workClass, this.options));
		permit.release(reply.kind === 'completed' ? 'completed' : (reply.kind === 'lost' ? 'timeout' : 'failed'));
		if (reply.kind === 'completed') {
			return this.#confirmStep(transaction, stepId, reply);
		}

		await this.#rollBackAndReturn(transaction);
		// The instance rolls back what is not committed, so the transaction as a whole did not run.
		return buildStepResponse(stepId, notRun('transaction-ended', 'The step got no answer and the transaction was rolled back.', briefRetryAfterMs), true);
	}

	async #confirmStep(transaction: OpenTransaction, stepId: bigint, {completion}: Extract<EndpointReply, {kind: 'completed'}>): Promise<TransactResponse> {
		const confirmation = await this.confirmationGate.waitForConfirmation(completion, transaction.context.deadlineMs);
		if (confirmation === 'confirmed') {
			return buildStepResponse(stepId, this.confirmationGate.buildDoneResponse(completion, transaction.context.token, transaction.instance), false);
		}

		await this.#rollBackAndReturn(transaction);
		return buildStepResponse(stepId, notRun('transaction-ended', 'The data that the step saw is not confirmed by a majority; the transaction was rolled back.', briefRetryAfterMs), true);
	}

	async #commit({instance, lease, context}: OpenTransaction, {stepId, requestKey}: Commit): Promise<TransactResponse> {
		const reply = await lease.commit(requestKey, getResponseTimeoutMs(context, 'short', this.options));
		switch (reply.kind) {
			case 'completed': {
				instance.pool.release(lease);
				const keyedContext = {...context, request: create(ExecuteRequestSchema, {...context.request, requestKey})};
				return buildStepResponse(stepId, await this.confirmationGate.confirmWrite(reply.completion, keyedContext, instance), true);
			}

			case 'refused': {
				instance.pool.discard(lease);
				return buildStepResponse(stepId, buildRefusalResponse(reply, this.options.random), true);
			}

			case 'lost': {
				instance.pool.discard(lease);
				return buildStepResponse(stepId, unknown(toUnknownCode(reply.reason), requestKey), true);
			}
		}
	}

	async #rollback(transaction: OpenTransaction): Promise<ExecuteResponse> {
		await this.#rollBackAndReturn(transaction);
		return done(buildEmptyDone(transaction.instance));
	}

	/** Rolls the transaction back; returns the connection to the pool if the rollback is confirmed, otherwise closes it. */
	async #rollBackAndReturn({instance, lease}: OpenTransaction): Promise<void> {
		const reply = await lease.rollback(this.options.policy.connectTimeoutMs);
		if (reply.kind === 'completed') {
			instance.pool.release(lease);
		} else {
			instance.pool.discard(lease);
		}
	}

	/** Ends the iteration when the next step does not arrive within the idle limit or the transaction timeout. */
	async * #withTimeLimits(steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactRequest> {
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

const buildEmptyDone = ({member}: Instance) => ({
	rows: [], sessionToken: '', repeated: false, servedBy: member.memberId, byReplica: false, ageBoundMs: 0,
});
