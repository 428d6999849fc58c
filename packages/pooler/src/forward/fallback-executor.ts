import {type TimerService} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type EventLog} from '../observability/index.js';
import {
	type BeginRequest, type Executor, type FailureReason, type Operation, type SingleStatement, statementFailure, type StatementResult, type TransactionHandle,
} from '../session/index.js';
import {type RemoteExecutor} from './remote-executor.js';

/** An executor that knows whether this host reaches the endpoints that a statement needs. */
export type LocalReach = Executor & {canServe(needsLeader: boolean): boolean};

export type FallbackExecutorOptions = {
	service: string;
	local: LocalReach;
	/** Forwards to other holders, which refuse at once what they cannot serve either. */
	remote: RemoteExecutor;
	timers: TimerService;
	events: EventLog;
};

/** A refused statement with this much time left or less before its deadline is not tried again, in ms. */
const minForwardTimeMs = 50;

/** Delay before a statement is tried again for which no host has found a connection, in ms. */
const retryDelayMs = 150;

/** Refusals that another host may not have to make: they say that this host does not reach an endpoint, not that it is overloaded. */
const movableReasons: ReadonlySet<FailureReason> = new Set([
	'endpoint-unreachable', 'leader-stalled', 'leader-unknown', 'leadership-unproven', 'position-unknown', 'no-reader',
]);

/** Whether the statement has not run and another host may be able to run it. */
const isMovable = (result: StatementResult): boolean =>
	result.isErr() && result.error.code === 'busy' && movableReasons.has(result.error.reason);

/**
 * Runs statements over this host's own connections, and through another holder while this host cannot reach what they
 * need. Answers the pattern of a partition between an endpoint and some of the hosts: without it, every statement at
 * these hosts fails although the others serve.
 */
export class FallbackExecutor implements Executor {
	constructor(private readonly options: FallbackExecutorOptions) {}

	async runSingle(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		const {local} = this.options;
		const runLocally = async (mayMove: boolean) => local.runSingle(statement, isWrite, {...operation, mayMove});
		const runRemotely = async () => this.options.remote.runElsewhere(statement, isWrite, operation);
		const needsLeader = isWrite || operation.route.consistency === 'primary';
		return this.runPreferred(operation, needsLeader, {runLocally, runRemotely});
	}

	begin(request: BeginRequest): TransactionHandle {
		return new FallbackTransaction(this, request);
	}

	logFields(): Record<string, string | number | undefined> {
		return this.options.local.logFields();
	}

	beginLocally(request: BeginRequest): TransactionHandle {
		return this.options.local.begin(request);
	}

	beginRemotely(request: BeginRequest): TransactionHandle {
		return this.options.remote.beginElsewhere(request);
	}

	/**
	 * Runs a statement at this host if it reaches the endpoints, otherwise or after such a refusal at another holder. If
	 * none can serve it, this host waits for a promotion, and for connections while the endpoints accept no more.
	 */
	async runPreferred(
		operation: Operation,
		needsLeader: boolean,
		{runLocally, runRemotely}: {runLocally: (mayMove: boolean) => Promise<StatementResult>; runRemotely: () => Promise<StatementResult>},
	): Promise<StatementResult> {
		const {local, timers} = this.options;
		for (;;) {
			const first = local.canServe(needsLeader) ? await runLocally(this.options.remote.hasCandidate(needsLeader)) : undefined;
			const hasTimeLeft = operation.deadlineMs - timers.nowMs() > minForwardTimeMs;
			if (first && !(isMovable(first) && hasTimeLeft)) {
				return first;
			}

			const moved = await this.#move(operation, needsLeader, first?.isErr() ? first.error.reason : 'not-reachable', runRemotely);
			if (moved && !isRefusal(moved)) {
				return moved;
			}

			const last = await runLocally(false);
			const canTryAgain = last.isErr() && last.error.reason === 'endpoint-unreachable'
				&& operation.deadlineMs - timers.nowMs() > 2 * retryDelayMs;
			if (!canTryAgain) {
				return last;
			}

			await timers.sleep(retryDelayMs);
		}
	}

	async #move(operation: Operation, needsLeader: boolean, cause: string, runRemotely: () => Promise<StatementResult>): Promise<StatementResult | undefined> {
		const {events, service, remote} = this.options;
		if (!remote.hasCandidate(needsLeader)) {
			return undefined;
		}

		const result = await runRemotely();
		events.write('request-moved', {
			requestId: operation.id, service, reason: cause, outcome: result.match(() => 'served', ({code}) => code), refusal: result.isErr() ? result.error.reason : undefined,
		});
		return result;
	}
}

/** Refusals of a holder, or of the way to it, after which the statement has not run. */
const isRefusal = (result: StatementResult): boolean =>
	result.isErr() && result.error.code === 'busy';

/** A transaction that is begun at this host or at another holder, as its first statement shows which one can serve it. */
class FallbackTransaction implements TransactionHandle {
	#begun: TransactionHandle | undefined;
	#endedState: 'failed' | 'ended' | undefined;

	constructor(private readonly executor: FallbackExecutor, private readonly request: BeginRequest) {}

	get state(): TransactionHandle['state'] {
		return this.#endedState ?? this.#begun?.state ?? 'open';
	}

	async run(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		return this.#begun
			? this.#begun.run(statement, isWrite, operation)
			: this.#runFirst(operation, isWrite, async (handle, request) => handle.run(statement, isWrite, request));
	}

	async commit(operation: Operation): Promise<StatementResult> {
		return this.#begun
			? this.#begun.commit(operation)
			: this.#runFirst(operation, false, async (handle, request) => handle.commit(request));
	}

	abort(): void {
		this.#begun?.abort();
		this.#endedState = 'ended';
	}

	expire(): void {
		this.#begun?.expire();
		this.#endedState = 'failed';
	}

	async #runFirst(operation: Operation, isWrite: boolean, run: (handle: TransactionHandle, request: Operation) => Promise<StatementResult>): Promise<StatementResult> {
		const needsLeader = isWrite || !this.request.readOnly || operation.route.consistency === 'primary';
		const beginAndRun = async (begin: () => TransactionHandle, mayMove = false): Promise<StatementResult> => {
			if (this.#endedState) {
				// The client has left, or the transaction has expired, while the first try was on its way.
				return err(statementFailure('transaction-failed'));
			}

			// An earlier try was refused before the transaction began; its handle is failed and holds nothing.
			this.#begun?.abort();
			this.#begun = begin();
			return run(this.#begun, {...operation, mayMove});
		};

		return this.executor.runPreferred(operation, needsLeader, {
			runLocally: async mayMove => beginAndRun(() => this.executor.beginLocally(this.request), mayMove),
			runRemotely: async () => beginAndRun(() => this.executor.beginRemotely(this.request)),
		});
	}
}
