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
	links: RequestForwarder;
	membership: MembershipView;
	retryBudget: RetryBudget;
	timers: TimerService;
	random: () => number;
};

/** Attempts at finding the proxy that acts; the first ones cover a record that has just changed. */
const maxAttempts = 4;

/** Pause before asking again who acts, so that a change of owner has time to be noticed. */
const redirectDelayMs = 20;

/** Sends each request to the proxy that acts for its database. */
export class RequestRouter {
	constructor(private readonly options: RequestRouterOptions) {}

	/** Gives the outcome. Retries only what did not run, and reads, within deadline and retry budget. */
	async execute(request: ExecuteRequest): Promise<ExecuteResponse> {
		const {timers, directory, retryBudget, random} = this.options;
		const deadlineMs = timers.nowMs() + request.timeoutMs;
		let last = notRun('no-acting-owner', 'The request did not run.', briefRetryAfterMs * (1 + random()));
		for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
			const leftMs = Math.floor(deadlineMs - timers.nowMs());
			if (leftMs < 1 || (attempt > 0 && !retryBudget.tryRetry(request.callerId, request.database))) {
				return last;
			}

			const owner = await directory.findActing(request.database);
			if (owner.isErr()) {
				return mergeRetryOutcome(last, notRun(owner.error.kind, owner.error.message, owner.error.kind === 'unknown-database' ? 0 : briefRetryAfterMs * (1 + random())));
			}

			const result = await this.#send(owner.value, create(ExecuteRequestSchema, {...request, timeoutMs: leftMs}));
			if (result.kind === 'answered') {
				this.#earnRetries(request, result.response);
				return mergeRetryOutcome(last, result.response);
			}

			if (result.kind === 'lost' && request.access === Access.WRITE) {
				return unknown('owner-lost', request.requestKey);
			}

			last = result.kind === 'lost'
				? unknown('owner-lost', undefined, 'read')
				: mergeRetryOutcome(last, notRun(result.kind === 'not-sent' ? 'owner-unreachable' : 'no-acting-owner', 'The request did not run.', briefRetryAfterMs * (1 + random())));

			await this.#redirect(request.database, owner.value);
		}

		return last;
	}

	/** Runs a transaction at the proxy that acts; `database` is the one that its first step names. */
	async * transact(database: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		const {directory, owners, random} = this.options;
		const owner = await directory.findActing(database);
		if (owner.isErr()) {
			yield {
				$typeName: 'dogwoodthread.v1.TransactResponse', stepId: 0n, ended: true,
				response: notRun(owner.error.kind, owner.error.message, owner.error.kind === 'unknown-database' ? 0 : briefRetryAfterMs * (1 + random())),
			};
			return;
		}

		const local = this.#isLocal(owner.value) ? owners.get(database) : undefined;
		yield * local ? local.transact(steps) : this.#transactAt(owner.value.seat.peerAddress, steps);
	}

	/** Runs a transaction at a peer. When the stream to it is cut, the step that waits gets its outcome here. */
	async * #transactAt(peerAddress: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		let waiting: TransactRequest['step'] = {case: undefined};
		async function * noted() {
			for await (const request of steps) {
				waiting = request.step;
				yield request;
			}
		}

		try {
			yield * this.options.links.transact(peerAddress, noted());
		} catch {
			yield lostStep(waiting);
		}
	}

	async #send({seat}: ActingOwner, request: ExecuteRequest): Promise<ForwardResult> {
		const {owners, timers, links} = this.options;
		if (!this.#isLocal({seat})) {
			return links.forward(seat.peerAddress, request);
		}

		const local = owners.get(request.database);
		return local
			? {kind: 'answered', response: await local.execute(request, timers.nowMs() + request.timeoutMs)}
			: {kind: 'not-acting'};
	}

	async #redirect(database: string, {seat}: ActingOwner): Promise<void> {
		const {directory, timers} = this.options;
		directory.passOver(database, seat.hostId);
		await timers.sleep(redirectDelayMs);
		await directory.refresh(database);
	}

	#isLocal({seat}: Pick<ActingOwner, 'seat'>): boolean {
		return seat.hostId === this.options.membership.self().hostId;
	}

	#earnRetries({callerId, database}: ExecuteRequest, {outcome}: ExecuteResponse): void {
		if (outcome.case === 'done') {
			this.options.retryBudget.onSuccess(callerId, database);
		}
	}
}

/** Final answer to a step of a transaction whose owner was lost. Only a commit may have run: without one the owner rolls back. */
const lostStep = (step: TransactRequest['step']): TransactResponse => {
	const answer = {$typeName: 'dogwoodthread.v1.TransactResponse' as const, ended: true};
	switch (step.case) {
		case 'commit': {
			return {...answer, stepId: step.value.stepId, response: unknown('owner-lost', step.value.requestKey)};
		}

		case 'execute':
		case 'rollback': {
			return {...answer, stepId: step.value.stepId, response: notRun('transaction-ended', 'The acting proxy was lost and the transaction was rolled back.', briefRetryAfterMs)};
		}

		case 'begin':
		case undefined: {
			return {...answer, stepId: 0n, response: notRun('owner-unreachable', 'The transaction did not begin.', briefRetryAfterMs)};
		}
	}
};
