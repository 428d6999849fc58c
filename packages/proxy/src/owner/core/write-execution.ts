import {type SessionToken} from '@dogwoodthread/coordination';
import {type ExecuteResponse} from '@dogwoodthread/protocol';
import {type EndpointReply, type StatementCall} from '../../endpoint/index.js';
import {
	briefRetryAfterMs, isNotRunCode, notRun, unknown, type UnknownCode,
} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {type ConfirmationGate} from './confirmation-gate.js';
import {getResponseTimeoutMs, type ExecutionContext, getRemainingMs} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';

/** Refusals that stop once the owner has learned the new primary or has a free connection. */
const transientRefusalCodes = new Set(['stale-term', 'not-primary', 'connection-closed', 'too-many-connections']);

/** Runs writes at the primary and responds once a majority of the group has them. */
export class WriteExecution {
	constructor(private readonly options: OwnerOptions, private readonly state: GroupState, private readonly confirmationGate: ConfirmationGate) {}

	async execute(context: ExecutionContext): Promise<ExecuteResponse> {
		const refusal = this.findWriteRefusal(context.token);
		if (refusal) {
			return refusal;
		}

		const instance = this.state.primary!;
		const {term} = this.state.tracker;
		const admission = await instance.admission.admit({
			callerId: context.request.callerId,
			statementName: context.statementName,
			workClass: context.workClass,
			deadlineMs: context.deadlineMs,
		});
		if (admission.isErr()) {
			return notRun(isNotRunCode(admission.error.kind) ? admission.error.kind : 'overloaded', admission.error.message, admission.error.retryAfterMs);
		}

		const permit = admission.value;
		const {reply, timeoutMs} = await this.#send(context, instance, {
			term,
			statement: context.request.statement!,
			access: 'write',
			requestKey: context.request.requestKey,
		}, getResponseTimeoutMs(context, permit.workClass, this.options));
		permit.release(reply.kind === 'completed' ? 'completed' : (reply.kind === 'lost' && timeoutMs > 0 ? 'timeout' : 'failed'));
		return this.#toResponse(reply, context, instance);
	}

	/** Returns the refusal for a new write, or undefined if the write may run. */
	findWriteRefusal(token: SessionToken | undefined): ExecuteResponse | undefined {
		const {policy, timers, random} = this.options;
		const retryAfterMs = briefRetryAfterMs * (1 + random());
		// A token of a later term shows that this owner has not yet learned of the latest primary.
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

		// Acquiring the connection may have used up the time. A write that could only end as unknown is not sent.
		const remainingMs = Math.min(timeoutMs, getRemainingMs(context, this.options.timers));
		if (remainingMs <= 0) {
			instance.pool.release(lease.value);
			return {reply: {kind: 'refused', code: 'deadline-passed', message: 'The deadline passed.'}, timeoutMs: 0};
		}

		const reply = await lease.value.execute(call, remainingMs);
		instance.pool.releaseAfterStatement(lease.value, reply);
		return {reply, timeoutMs: remainingMs};
	}

	async #toResponse(reply: EndpointReply, context: ExecutionContext, instance: Instance): Promise<ExecuteResponse> {
		switch (reply.kind) {
			case 'completed': {
				return this.confirmationGate.confirmWrite(reply.completion, context, instance);
			}

			case 'refused': {
				return buildRefusalResponse(reply, this.options.random);
			}

			case 'lost': {
				return unknown(toUnknownCode(reply.reason), context.request.requestKey);
			}
		}
	}
}

/** Code of the unknown outcome for a request that was sent and got no complete response. */
export const toUnknownCode = (reason: Extract<EndpointReply, {kind: 'lost'}>['reason']): UnknownCode =>
	reason === 'foreign-answer' ? 'incomplete-answer' : reason;

/** Builds the "not run" outcome of a request that the instance refused before running it. */
export function buildRefusalResponse({code, message}: {code: string; message: string}, random: () => number): ExecuteResponse {
	const retryAfterMs = briefRetryAfterMs * (1 + random());
	if (transientRefusalCodes.has(code)) {
		return notRun('no-primary', message, retryAfterMs);
	}

	const isPermanent = code === 'request-key-reused' || code === 'request-key-expired';
	return notRun(isNotRunCode(code) ? code : 'refused-by-endpoint', message, isPermanent || !isNotRunCode(code) ? 0 : retryAfterMs);
}
