import {type RandomSource, type TimerService} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type FleetHost} from '../fleet/index.js';
import {
	type BeginRequest, type Executor, type Operation, type SingleStatement, statementFailure, type StatementResult, type TransactionHandle,
} from '../session/index.js';
import {type ForwardedStatement} from './definitions.js';
import {type CallResult, type HolderLink} from './holder-link.js';

export type RemoteExecutorOptions = {
	service: string;
	/** Current holders of the service, without this host. */
	holders: () => readonly FleetHost[];
	linkTo: (host: FleetHost) => HolderLink;
	/** Returns a number that is unique on every link of this host; a link is shared by several services. */
	nextTransactionNumber: () => number;
	timers: TimerService;
	random: RandomSource;
	failureDomain: string;
};

/** Maximum number of holders to which one statement is sent. */
const maxAttempts = 3;
/** No holder is tried with this much time left or less before the deadline. */
const minRetryTimeMs = 50;

/** Runs statements by forwarding them to holders of the service. */
export class RemoteExecutor implements Executor {
	constructor(private readonly options: RemoteExecutorOptions) {}

	async runSingle(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		const tried = new Set<HolderLink>();
		let lastResult: StatementResult = err(statementFailure('no-connection'));
		while (tried.size < maxAttempts && operation.deadlineMs - this.options.timers.nowMs() > minRetryTimeMs) {
			const link = this.chooseLink(tried);
			if (!link) {
				break;
			}

			tried.add(link);

			const callResult = await link.call({
				kind: 'single', isWrite, command: statement.command, prepared: statement.prepared, statement: this.toForwardedStatement(operation),
			});
			if (callResult.kind === 'answered' && !isRefusal(callResult.result)) {
				return recordWrite(callResult.result, isWrite, operation);
			}

			lastResult = callResult.kind === 'answered' ? callResult.result : err(statementFailure('connection-lost'));
			// A write that may have run must not be repeated.
			if (callResult.kind === 'lost' && isWrite) {
				return lastResult;
			}

			operation.progress.attempts += 1;
		}

		return lastResult;
	}

	begin(request: BeginRequest): TransactionHandle {
		return new RemoteTransaction(this, request, this.options.nextTransactionNumber());
	}

	logFields(): Record<string, string | number | undefined> {
		return {forwardedTo: this.options.holders().length};
	}

	/**
	 * Chooses the less loaded of two random holders. Holders in this host's failure domain are preferred, and avoided
	 * holders are used only if there are no others.
	 */
	chooseLink(excluded: ReadonlySet<HolderLink>): HolderLink | undefined {
		const {holders, linkTo, timers, random, failureDomain} = this.options;
		const nowMs = timers.nowMs();
		const candidates = holders()
			.map(host => ({link: linkTo(host), isSameDomain: host.failureDomain === failureDomain}))
			.filter(({link}) => !excluded.has(link));
		const usable = candidates.filter(({link}) => !link.isAvoided(nowMs));
		const inSameDomain = usable.filter(({isSameDomain}) => isSameDomain);
		const preferred = [inSameDomain, usable, candidates].find(list => list.length > 0) ?? [];
		const first = preferred[Math.floor(random() * preferred.length)];
		const second = preferred[Math.floor(random() * preferred.length)];
		return first && second && (second.link.pendingCallCount < first.link.pendingCallCount ? second.link : first.link);
	}

	toForwardedStatement({id, route, session, deadlineMs}: Operation): ForwardedStatement {
		return {
			requestId: id,
			service: this.options.service,
			consistency: route.consistency,
			maxStalenessMs: route.maxStalenessMs,
			priority: route.priority,
			latencyObjectiveMs: route.latencyObjectiveMs,
			leftMs: Math.max(1, deadlineMs - this.options.timers.nowMs()),
			values: [...session.values],
			committed: session.lastCommitPosition,
		};
	}
}

/** Whether the holder refused to run the statement, so that another holder may run it. */
const isRefusal = (result: StatementResult): boolean => result.isErr() && (result.error.reason === 'no-connection' || result.error.reason === 'arrived-late');

function recordWrite(result: StatementResult, isWrite: boolean, {session}: Operation): StatementResult {
	return result.map(answer => {
		if (isWrite) {
			session.recordCommit(answer.position);
		}

		return answer;
	});
}

/** A transaction at one holder. The holder rolls it back when the link closes. */
class RemoteTransaction implements TransactionHandle {
	#state: TransactionHandle['state'] = 'open';
	#link: HolderLink | undefined;
	/** Generation of the connection on which the transaction began; the transaction ends with that connection. */
	#generation: number | undefined;
	#hasWritten = false;

	constructor(
		private readonly executor: RemoteExecutor,
		private readonly request: BeginRequest,
		private readonly transactionNumber: number,
	) {}

	get state(): TransactionHandle['state'] {
		return this.#state;
	}

	async run(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		const tried = new Set<HolderLink>();
		for (;;) {
			const isFirst = this.#link === undefined;
			const link = this.#link ?? this.executor.chooseLink(tried);
			if (!link) {
				return this.#fail(err(statementFailure('no-connection')));
			}

			this.#link = link;
			tried.add(link);
			this.#hasWritten ||= isWrite;

			const call = link.call({
				kind: 'transaction',
				transaction: this.transactionNumber,
				isFirst,
				begin: this.#beginParameters,
				statement: this.executor.toForwardedStatement(operation),
				command: statement.command,
				prepared: statement.prepared,
				isWrite,
			}, this.#generation);
			this.#generation ??= link.generation;
			const callResult = await call;
			const mayRetry = isFirst && tried.size < maxAttempts && (callResult.kind !== 'answered' || isRefusal(callResult.result));
			if (!mayRetry) {
				return this.#toResult(callResult);
			}

			// Either the statement did not run, or the holder rolls it back: the transaction is aborted or its link has closed.
			link.abort(this.transactionNumber);
			this.#link = undefined;
			this.#generation = undefined;
			operation.progress.attempts += 1;
		}
	}

	async commit(operation: Operation): Promise<StatementResult> {
		const isFirst = this.#link === undefined;
		const link = this.#link ?? this.executor.chooseLink(new Set());
		this.#state = 'ended';
		if (!link) {
			return err(statementFailure('no-connection'));
		}

		const callResult = await link.call({
			kind: 'commit', transaction: this.transactionNumber, isFirst, begin: this.#beginParameters, statement: this.executor.toForwardedStatement(operation),
		}, this.#generation);
		if (callResult.kind === 'not-sent') {
			return err({...statementFailure('transaction-failed'), reason: 'connection-lost'});
		}

		if (callResult.kind !== 'answered') {
			return err(this.#hasWritten ? statementFailure('connection-lost') : statementFailure('transaction-failed'));
		}

		return recordWrite(callResult.result, this.#hasWritten, operation);
	}

	abort(): void {
		if (this.#state !== 'ended') {
			this.#link?.abort(this.transactionNumber);
		}

		this.#state = 'ended';
	}

	expire(): void {
		this.#state = 'failed';
		this.#link?.abort(this.transactionNumber);
	}

	get #beginParameters(): {id: string; readOnly: boolean} {
		return {id: this.request.id, readOnly: this.request.readOnly};
	}

	#toResult(callResult: CallResult): StatementResult {
		if (callResult.kind !== 'answered') {
			return this.#fail(err({...statementFailure('transaction-failed'), reason: 'connection-lost'}));
		}

		return callResult.result.isErr() ? this.#fail(callResult.result) : callResult.result;
	}

	#fail(result: StatementResult): StatementResult {
		this.#state = 'failed';
		this.#link?.abort(this.transactionNumber);
		return result;
	}
}
