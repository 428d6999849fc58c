import {type RandomSource, type TimerService} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type FleetHost} from '../fleet/index.js';
import {
	type BeginRequest, type Executor, type FailureReason, type Operation, type SingleStatement, statementFailure, type StatementResult, type TransactionHandle,
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
/** A holder that refused a statement because it does not reach the endpoints is avoided for the service for this long, in ms. */
const refusalMemoryMs = 500;
/** No holder is tried with this much time left or less before the deadline. */
const minRetryTimeMs = 50;

/**
 * Whether a holder that does not reach the endpoints should wait for them: the last one that is tried should, unless the
 * statement can also wait at this host.
 */
type WaitPolicy = 'last-holder-waits' | 'no-holder-waits';

/** Runs statements by forwarding them to holders of the service. */
export class RemoteExecutor implements Executor {
	/** Until when each holder is expected not to reach the primary, or the members for reads, in monotonic ms. */
	readonly #unservedUntilMs = {leader: new Map<HolderLink, number>(), readers: new Map<HolderLink, number>()};

	constructor(private readonly options: RemoteExecutorOptions) {}

	async runSingle(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		return this.#runAtHolders(statement, isWrite, operation, 'last-holder-waits');
	}

	/** As `runSingle`, for a statement that can also wait at this host: no holder waits. */
	async runElsewhere(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		return this.#runAtHolders(statement, isWrite, operation, 'no-holder-waits');
	}

	/** Whether some holder is not known to be unable to serve. */
	hasCandidate(needsLeader: boolean): boolean {
		return this.chooseHolder(new Set(), needsLeader, 'no-holder-waits') !== undefined;
	}

	begin(request: BeginRequest): TransactionHandle {
		return new RemoteTransaction(this, request, this.options.nextTransactionNumber(), 'last-holder-waits');
	}

	/** As `begin`, for a transaction that can also begin at this host. */
	beginElsewhere(request: BeginRequest): TransactionHandle {
		return new RemoteTransaction(this, request, this.options.nextTransactionNumber(), 'no-holder-waits');
	}

	logFields(): Record<string, string | number | undefined> {
		return {forwardedTo: this.options.holders().length};
	}

	/** Remembers a holder that does not reach the endpoints, so that the next statements try others first. */
	recordReach(link: HolderLink, needsLeader: boolean, callResult: CallResult): void {
		const unservedUntilMs = this.#unservedUntilMs[needsLeader ? 'leader' : 'readers'];
		const reason = callResult.kind === 'answered' && callResult.result.isErr() ? callResult.result.error.reason : undefined;
		if (reason && unreachedReasons.has(reason)) {
			unservedUntilMs.set(link, this.options.timers.nowMs() + refusalMemoryMs);
		} else if (callResult.kind === 'answered') {
			unservedUntilMs.delete(link);
		}
	}

	/**
	 * Chooses the holder for the next try, and whether it should wait for the endpoints. Holders that were found not to
	 * reach them are used only if there are no others, and then wait.
	 */
	chooseHolder(tried: ReadonlySet<HolderLink>, needsLeader: boolean, policy: WaitPolicy): {link: HolderLink; mayWait: boolean} | undefined {
		const nowMs = this.options.timers.nowMs();
		const unserved = [...this.#unservedUntilMs[needsLeader ? 'leader' : 'readers']].filter(([, untilMs]) => untilMs > nowMs).map(([link]) => link);
		const expectedToServe = this.chooseLink(new Set([...tried, ...unserved]));
		if (policy === 'no-holder-waits') {
			return expectedToServe && {link: expectedToServe, mayWait: false};
		}

		const link = expectedToServe ?? this.chooseLink(tried);
		const isLast = link && (tried.size === maxAttempts - 1 || !this.chooseLink(new Set([...tried, link])));
		return link && {link, mayWait: isLast === true || link !== expectedToServe};
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

	toForwardedStatement({id, route, session, deadlineMs}: Operation, mayWait: boolean): ForwardedStatement {
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
			mayWait,
		};
	}

	async #runAtHolders(statement: SingleStatement, isWrite: boolean, operation: Operation, policy: WaitPolicy): Promise<StatementResult> {
		const needsLeader = isWrite || operation.route.consistency === 'primary';
		const tried = new Set<HolderLink>();
		let lastResult: StatementResult = err(statementFailure('no-connection'));
		while (tried.size < maxAttempts && operation.deadlineMs - this.options.timers.nowMs() > minRetryTimeMs) {
			const chosen = this.chooseHolder(tried, needsLeader, policy);
			if (!chosen) {
				break;
			}

			const {link, mayWait} = chosen;
			tried.add(link);

			const callResult = await link.call({
				kind: 'single', isWrite, command: statement.command, prepared: statement.prepared, statement: this.toForwardedStatement(operation, mayWait),
			});
			this.recordReach(link, needsLeader, callResult);
			if (callResult.kind === 'answered' && !isRefusal(callResult.result)) {
				return recordWrite(callResult.result, isWrite, operation);
			}

			lastResult = callResult.kind === 'answered' ? callResult.result : err(statementFailure(callResult.kind === 'lost' ? 'connection-lost' : 'not-reachable'));
			// A write that may have run must not be repeated.
			if (callResult.kind === 'lost' && isWrite) {
				return lastResult;
			}

			operation.progress.attempts += 1;
		}

		return lastResult;
	}
}

/** Refusals of a holder that does not reach the endpoints that the statement needs. */
const unreachedReasons: ReadonlySet<FailureReason> = new Set([
	'not-reachable', 'endpoint-unreachable', 'leader-stalled', 'leader-unknown', 'leadership-unproven', 'position-unknown', 'no-reader',
]);

/** Whether the holder refused to run the statement, so that another holder may run it. */
const isRefusal = (result: StatementResult): boolean =>
	result.isErr() && (result.error.reason === 'no-connection' || result.error.reason === 'arrived-late' || result.error.reason === 'process-memory' || unreachedReasons.has(result.error.reason));

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
		private readonly policy: WaitPolicy,
	) {}

	get state(): TransactionHandle['state'] {
		return this.#state;
	}

	async run(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		const tried = new Set<HolderLink>();
		let lastRefusal: StatementResult = err(statementFailure('no-connection'));
		for (;;) {
			const isFirst = this.#link === undefined;
			const chosen = this.#link ? {link: this.#link, mayWait: true} : this.executor.chooseHolder(tried, this.#needsLeader(isWrite, operation), this.policy);
			if (!chosen) {
				return this.#fail(lastRefusal);
			}

			const {link, mayWait} = chosen;

			this.#link = link;
			tried.add(link);
			this.#hasWritten ||= isWrite;

			const call = link.call({
				kind: 'transaction',
				transaction: this.transactionNumber,
				isFirst,
				begin: this.#beginParameters,
				statement: this.executor.toForwardedStatement(operation, mayWait),
				command: statement.command,
				prepared: statement.prepared,
				isWrite,
			}, this.#generation);
			this.#generation ??= link.generation;
			const callResult = await call;
			this.executor.recordReach(link, this.#needsLeader(isWrite, operation), callResult);
			const mayRetry = isFirst && tried.size < maxAttempts && (callResult.kind !== 'answered' || isRefusal(callResult.result));
			if (!mayRetry) {
				return this.#toResult(callResult);
			}

			// Either the statement did not run, or the holder rolls it back: the transaction is aborted or its link has closed.
			link.abort(this.transactionNumber);
			lastRefusal = callResult.kind === 'answered' ? callResult.result : err(statementFailure('not-reachable'));
			this.#link = undefined;
			this.#generation = undefined;
			operation.progress.attempts += 1;
		}
	}

	async commit(operation: Operation): Promise<StatementResult> {
		const isFirst = this.#link === undefined;
		const chosen = this.#link ? {link: this.#link, mayWait: true} : this.executor.chooseHolder(new Set(), this.#needsLeader(false, operation), this.policy);
		this.#state = 'ended';
		if (!chosen) {
			return err(statementFailure('no-connection'));
		}

		const {link, mayWait} = chosen;

		const callResult = await link.call({
			kind: 'commit', transaction: this.transactionNumber, isFirst, begin: this.#beginParameters, statement: this.executor.toForwardedStatement(operation, mayWait),
		}, this.#generation);
		if (callResult.kind === 'not-sent') {
			return err({...statementFailure('transaction-failed'), reason: 'connection-lost'});
		}

		if (callResult.kind !== 'answered') {
			return err(this.#hasWritten ? statementFailure('connection-lost') : statementFailure('transaction-failed'));
		}

		if (isRefusal(callResult.result)) {
			// The holder did not run the commit, so the transaction is still open there.
			link.abort(this.transactionNumber);
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

	#needsLeader(isWrite: boolean, {route}: Operation): boolean {
		return isWrite || !this.request.readOnly || route.consistency === 'primary';
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
