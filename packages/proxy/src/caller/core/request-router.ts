import {type MembershipView, type RetryBudget, type TimerService} from '@dogwoodthread/coordination';
import {create} from '@bufbuild/protobuf';
import {
	Access, type ExecuteRequest, ExecuteRequestSchema, type ExecuteResponse, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {type ActingOwner, type DatabaseDirectory} from '../../directory/index.js';
import {
	mergeRetryOutcome, briefRetryAfterMs, notRun, unknown,
} from '../../outcome/index.js';
import {type OwnerRegistry} from '../../owner/index.js';
import {type ForwardResult, type RequestForwarder} from '../../peer/index.js';

export type RequestRouterOptions = {
	directory: DatabaseDirectory;
	owners: OwnerRegistry;
	forwarder: RequestForwarder;
	membership: MembershipView;
	retryBudget: RetryBudget;
	timers: TimerService;
	random: () => number;
};

/** Maximum attempts to reach the acting owner; the first ones cover an ownership record that has just changed. */
const maxAttempts = 4;

/** Delay before the acting owner is looked up again, so that a change of owner can be detected. */
const ownerLookupDelayMs = 20;

/** Routes each request to the acting owner of its database: this proxy or a peer. */
export class RequestRouter {
	constructor(private readonly options: RequestRouterOptions) {}

	/** Executes a request. Retries only reads and requests that did not run, within the deadline and the retry budget. */
	async execute(request: ExecuteRequest): Promise<ExecuteResponse> {
		const {timers, directory, retryBudget, random} = this.options;
		const deadlineMs = timers.nowMs() + request.timeoutMs;
		let lastResponse = notRun('no-acting-owner', 'The request did not run.', briefRetryAfterMs * (1 + random()));
		for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
			const remainingMs = Math.floor(deadlineMs - timers.nowMs());
			if (remainingMs < 1 || (attempt > 0 && !retryBudget.tryTakeRetry(request.callerId, request.database))) {
				return lastResponse;
			}

			const owner = await directory.findActingOwner(request.database);
			if (owner.isErr()) {
				return mergeRetryOutcome(lastResponse, notRun(owner.error.kind, owner.error.message, owner.error.kind === 'unknown-database' ? 0 : briefRetryAfterMs * (1 + random())));
			}

			const result = await this.#sendToOwner(owner.value, create(ExecuteRequestSchema, {...request, timeoutMs: remainingMs}));
			if (result.kind === 'answered') {
				this.#creditRetryBudget(request, result.response);
				return mergeRetryOutcome(lastResponse, result.response);
			}

			if (result.kind === 'lost' && request.access === Access.WRITE) {
				return unknown('owner-lost', request.requestKey);
			}

			lastResponse = result.kind === 'lost'
				? unknown('owner-lost', undefined, 'read')
				: mergeRetryOutcome(lastResponse, notRun(result.kind === 'not-sent' ? 'owner-unreachable' : 'no-acting-owner', 'The request did not run.', briefRetryAfterMs * (1 + random())));

			await this.#avoidOwner(request.database, owner.value);
		}

		return lastResponse;
	}

	/** Runs a transaction at the acting owner of `database`, which is the database named in its first step. */
	async * transact(database: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		const {directory, owners, random} = this.options;
		const owner = await directory.findActingOwner(database);
		if (owner.isErr()) {
			yield {
				$typeName: 'dogwoodthread.v1.TransactResponse', stepId: 0n, ended: true,
				response: notRun(owner.error.kind, owner.error.message, owner.error.kind === 'unknown-database' ? 0 : briefRetryAfterMs * (1 + random())),
			};
			return;
		}

		const local = this.#isLocal(owner.value) ? owners.get(database) : undefined;
		yield * local ? local.transact(steps) : this.#transactThroughPeer(owner.value.seat.peerAddress, steps);
	}

	/** Runs a transaction at a peer. When the stream to the peer breaks, the pending step gets its outcome from this proxy. */
	async * #transactThroughPeer(peerAddress: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		let pendingStep: TransactRequest['step'] = {case: undefined};
		async function * trackPendingStep() {
			for await (const request of steps) {
				pendingStep = request.step;
				yield request;
			}
		}

		try {
			yield * this.options.forwarder.transact(peerAddress, trackPendingStep());
		} catch {
			yield responseForLostOwner(pendingStep);
		}
	}

	async #sendToOwner({seat}: ActingOwner, request: ExecuteRequest): Promise<ForwardResult> {
		const {owners, timers, forwarder} = this.options;
		if (!this.#isLocal({seat})) {
			return forwarder.forward(seat.peerAddress, request);
		}

		const local = owners.get(request.database);
		return local
			? {kind: 'answered', response: await local.execute(request, timers.nowMs() + request.timeoutMs)}
			: {kind: 'not-acting'};
	}

	/** Prefers other owners of the database for a while and looks up the acting one again. */
	async #avoidOwner(database: string, {seat}: ActingOwner): Promise<void> {
		const {directory, timers} = this.options;
		directory.avoidTemporarily(database, seat.hostId);
		await timers.sleep(ownerLookupDelayMs);
		await directory.refresh(database);
	}

	#isLocal({seat}: Pick<ActingOwner, 'seat'>): boolean {
		return seat.hostId === this.options.membership.self().hostId;
	}

	#creditRetryBudget({callerId, database}: ExecuteRequest, {outcome}: ExecuteResponse): void {
		if (outcome.case === 'done') {
			this.options.retryBudget.onSuccess(callerId, database);
		}
	}
}

/**
 * Final response to a step of a transaction whose owner was lost. Only the outcome of a commit is unknown: without a commit
 * the owner rolls the transaction back.
 */
const responseForLostOwner = (step: TransactRequest['step']): TransactResponse => {
	const base = {$typeName: 'dogwoodthread.v1.TransactResponse' as const, ended: true};
	switch (step.case) {
		case 'commit': {
			return {...base, stepId: step.value.stepId, response: unknown('owner-lost', step.value.requestKey)};
		}

		case 'execute':
		case 'rollback': {
			return {...base, stepId: step.value.stepId, response: notRun('transaction-ended', 'The acting proxy was lost and the transaction was rolled back.', briefRetryAfterMs)};
		}

		case 'begin':
		case undefined: {
			return {...base, stepId: 0n, response: notRun('owner-unreachable', 'The transaction did not begin.', briefRetryAfterMs)};
		}
	}
};
