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
	/** Holders at present, and the links to them. */
	holders: () => readonly FleetHost[];
	linkTo: (host: FleetHost) => HolderLink;
	/** Numbers that are unique on each link, which several services share. */
	nextTransaction: () => number;
	timers: TimerService;
	random: RandomSource;
	failureDomain: string;
};

/** Holders that one statement is offered to at most. */
const maxAttempts = 3;
/** A refusal is passed on rather than tried elsewhere when less time is left, in ms. */
const minRetryMs = 50;

/** Runs statements at hosts that hold connections to the service. */
export class RemoteExecutor implements Executor {
	constructor(private readonly options: RemoteExecutorOptions) {}

	async runSingle(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult> {
		const tried = new Set<HolderLink>();
		let last: StatementResult = err(statementFailure('no-connection'));
		while (tried.size < maxAttempts && operation.deadlineMs - this.options.timers.nowMs() > minRetryMs) {
			const link = this.chooseLink(tried);
			if (!link) {
				break;
			}

			tried.add(link);

			const called = await link.call({
				kind: 'single', isWrite, command: statement.command, prepared: statement.prepared, statement: this.forwarded(operation),
			});
			if (called.kind === 'answered' && !isRefusal(called.result)) {
				return noteWrite(called.result, isWrite, operation);
			}

			last = called.kind === 'answered' ? called.result : err(statementFailure('connection-lost'));
			// A write that may have run must not be sent again.
			if (called.kind === 'lost' && isWrite) {
				return last;
			}

			operation.progress.attempts += 1;
		}

		return last;
	}

	begin(request: BeginRequest): TransactionHandle {
		return new RemoteTransaction(this, request, this.options.nextTransaction());
	}

	logFields(): Record<string, string | number | undefined> {
		return {forwardedTo: this.options.holders().length};
	}

	/** The less loaded of two holders, in this host's failure domain if one there can be used. */
	chooseLink(excluded: ReadonlySet<HolderLink>): HolderLink | undefined {
		const {holders, linkTo, timers, random, failureDomain} = this.options;
		const nowMs = timers.nowMs();
		const candidates = holders()
			.map(host => ({link: linkTo(host), isNear: host.failureDomain === failureDomain}))
			.filter(({link}) => !excluded.has(link));
		const usable = candidates.filter(({link}) => !link.isAvoided(nowMs));
		const near = usable.filter(({isNear}) => isNear);
		const pool = [near, usable, candidates].find(list => list.length > 0) ?? [];
		const first = pool[Math.floor(random() * pool.length)];
		const second = pool[Math.floor(random() * pool.length)];
		return first && second && (second.link.pending < first.link.pending ? second.link : first.link);
	}

	forwarded({id, route, session, deadlineMs}: Operation): ForwardedStatement {
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

/** Whether the holder could not run the statement while another one may. */
const isRefusal = (result: StatementResult): boolean => result.isErr() && (result.error.reason === 'no-connection' || result.error.reason === 'arrived-late');

function noteWrite(result: StatementResult, isWrite: boolean, {session}: Operation): StatementResult {
	return result.map(answer => {
		if (isWrite) {
			session.recordCommit(answer.position);
		}

		return answer;
	});
}

/** A transaction at one holder. It ends with the link: the holder rolls back what a lost link had open. */
class RemoteTransaction implements TransactionHandle {
	#state: TransactionHandle['state'] = 'open';
	#link: HolderLink | undefined;
	/** Connection of the link on which the transaction began; it does not outlive that. */
	#generation: number | undefined;
	#hasWritten = false;

	constructor(
		private readonly executor: RemoteExecutor,
		private readonly request: BeginRequest,
		private readonly transaction: number,
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
				transaction: this.transaction,
				isFirst,
				begin: this.#begin,
				statement: this.executor.forwarded(operation),
				command: statement.command,
				prepared: statement.prepared,
				isWrite,
			}, this.#generation);
			this.#generation ??= link.generation;
			const called = await call;
			const mayRetry = isFirst && tried.size < maxAttempts && (called.kind !== 'answered' || isRefusal(called.result));
			if (!mayRetry) {
				return this.#settle(called);
			}

			// The first statement did not run, or its transaction is rolled back with the link.
			link.abort(this.transaction);
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

		const called = await link.call({
			kind: 'commit', transaction: this.transaction, isFirst, begin: this.#begin, statement: this.executor.forwarded(operation),
		}, this.#generation);
		if (called.kind === 'not-sent') {
			return err({...statementFailure('transaction-failed'), reason: 'connection-lost'});
		}

		if (called.kind !== 'answered') {
			return err(this.#hasWritten ? statementFailure('connection-lost') : statementFailure('transaction-failed'));
		}

		return noteWrite(called.result, this.#hasWritten, operation);
	}

	abort(): void {
		if (this.#state !== 'ended') {
			this.#link?.abort(this.transaction);
		}

		this.#state = 'ended';
	}

	expire(): void {
		this.#state = 'failed';
		this.#link?.abort(this.transaction);
	}

	get #begin(): {id: string; readOnly: boolean} {
		return {id: this.request.id, readOnly: this.request.readOnly};
	}

	#settle(called: CallResult): StatementResult {
		if (called.kind !== 'answered') {
			return this.#fail(err({...statementFailure('transaction-failed'), reason: 'connection-lost'}));
		}

		return called.result.isErr() ? this.#fail(called.result) : called.result;
	}

	#fail(result: StatementResult): StatementResult {
		this.#state = 'failed';
		this.#link?.abort(this.transaction);
		return result;
	}
}
