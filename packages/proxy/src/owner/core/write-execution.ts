import {type SessionToken} from '@dogwoodthread/coordination';
import {type ExecuteResponse} from '@dogwoodthread/protocol';
import {type EndpointReply, type StatementCall} from '../../endpoint/index.js';
import {
	briefRetryAfterMs, isNotRunCode, notRun, unknown, type UnknownCode,
} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {type AnswerRelease} from './answer-release.js';
import {answerTimeoutMs, type ExecutionContext, remainingMs} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';

/** Refusals that pass by themselves once the owner has learnt the new primary or has a free connection. */
const passingCodes = new Set(['stale-term', 'not-primary', 'connection-closed', 'too-many-connections']);

/** Runs writes at the primary and releases their answers when a majority has them. */
export class WriteExecution {
	constructor(private readonly options: OwnerOptions, private readonly state: GroupState, private readonly release: AnswerRelease) {}

	async execute(context: ExecutionContext): Promise<ExecuteResponse> {
		const refusal = this.refuseNewWrite(context.token);
		if (refusal) {
			return refusal;
		}

		const instance = this.state.primary!;
		const {term} = this.state.tracker;
		const admitted = await instance.admission.admit({
			callerId: context.request.callerId,
			statementName: context.statementName,
			workClass: context.workClass,
			deadlineMs: context.deadlineMs,
		});
		if (admitted.isErr()) {
			return notRun(isNotRunCode(admitted.error.kind) ? admitted.error.kind : 'overloaded', admitted.error.message, admitted.error.retryAfterMs);
		}

		const permit = admitted.value;
		const {reply, timeoutMs} = await this.#send(context, instance, {
			term,
			statement: context.request.statement!,
			access: 'write',
			requestKey: context.request.requestKey,
		}, answerTimeoutMs(context, permit.workClass, this.options));
		permit.release(reply.kind === 'completed' ? 'completed' : (reply.kind === 'lost' && timeoutMs > 0 ? 'timeout' : 'failed'));
		return this.#conclude(reply, context, instance);
	}

	/** The refusal of a write that arrives now, if there is a reason for one. */
	refuseNewWrite(token: SessionToken | undefined): ExecuteResponse | undefined {
		const {policy, timers, random} = this.options;
		const retryAfterMs = briefRetryAfterMs * (1 + random());
		// A token of a later term means that this owner has not yet learnt of the latest primary.
		if (!this.state.primary || (token?.term ?? 0) > this.state.tracker.term) {
			return notRun('no-primary', 'The write did not run.', retryAfterMs);
		}

		const {unconfirmedSinceMs} = this.state.tracker;
		return unconfirmedSinceMs !== undefined && timers.nowMs() - unconfirmedSinceMs > policy.unconfirmedBoundMs
			? notRun('replication-behind', 'The write did not run.', retryAfterMs)
			: undefined;
	}

	async #send(context: ExecutionContext, instance: Instance, call: StatementCall, timeoutMs: number): Promise<{reply: EndpointReply; timeoutMs: number}> {
		const lease = await instance.pool.acquire(timeoutMs);
		if (lease.isErr()) {
			return {reply: {kind: 'refused', code: 'no-connection', message: lease.error.message}, timeoutMs: 0};
		}

		// Acquiring may have taken most of the time; what would surely end as unknown is not sent.
		const leftMs = Math.min(timeoutMs, remainingMs(context, this.options.timers));
		if (leftMs <= 0) {
			instance.pool.release(lease.value);
			return {reply: {kind: 'refused', code: 'deadline-passed', message: 'The deadline passed.'}, timeoutMs: 0};
		}

		const reply = await lease.value.connection.execute(call, leftMs);
		instance.pool.giveBack(lease.value, reply);
		return {reply, timeoutMs: leftMs};
	}

	async #conclude(reply: EndpointReply, context: ExecutionContext, instance: Instance): Promise<ExecuteResponse> {
		switch (reply.kind) {
			case 'completed': {
				return this.release.releaseWrite(reply.completion, context, instance);
			}

			case 'refused': {
				return refusedByEndpoint(reply, this.options.random);
			}

			case 'lost': {
				return unknown(lostCode(reply.reason), context.request.requestKey);
			}
		}
	}
}

/** Code of a request that was handed over and got no complete answer. */
export const lostCode = (reason: Extract<EndpointReply, {kind: 'lost'}>['reason']): UnknownCode =>
	reason === 'foreign-answer' ? 'incomplete-answer' : reason;

/** Outcome of a request that the instance refused before running it. */
export function refusedByEndpoint({code, message}: {code: string; message: string}, random: () => number): ExecuteResponse {
	const retryAfterMs = briefRetryAfterMs * (1 + random());
	if (passingCodes.has(code)) {
		return notRun('no-primary', message, retryAfterMs);
	}

	const permanent = code === 'request-key-reused' || code === 'request-key-expired';
	return notRun(isNotRunCode(code) ? code : 'refused-by-endpoint', message, permanent || !isNotRunCode(code) ? 0 : retryAfterMs);
}
