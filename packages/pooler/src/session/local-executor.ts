import {type RetryBudget} from '@dogwoodthread/coordination';
import {type Group} from '../group/index.js';
import {
	type BeginRequest, type Executor, type StatementResult, type TransactionHandle,
} from './executor.js';
import {type Operation, type OperationContext} from './operation.js';
import {runBoundedRead} from './run-bounded-read.js';
import {runPrimaryRead} from './run-primary-read.js';
import {runSingleWrite} from './run-write.js';
import {type SingleStatement} from './single-statement.js';
import {Transaction} from './transaction.js';

export type LocalExecutorContext = OperationContext & {hedgeBudget: RetryBudget};

/** Runs statements over this host's own connections. */
export class LocalExecutor implements Executor {
	constructor(private readonly group: Group, private readonly context: LocalExecutorContext) {}

	async runSingle(statement: SingleStatement, isWrite: boolean, request: Operation): Promise<StatementResult> {
		const operation = {...request, group: this.group};
		return this.#run(statement, isWrite, operation);
	}

	begin({id, readOnly, session, beganAtMs}: BeginRequest): TransactionHandle {
		return new Transaction({
			id, readOnly, session, beganAtMs, group: this.group, context: this.context,
		});
	}

	/** Whether this host reaches the primary or, if that is not needed, enough members for a read. */
	canServe(needsLeader: boolean): boolean {
		return this.group.canServe(needsLeader, this.context.timers.nowMs());
	}

	logFields(): Record<string, string | number | undefined> {
		const {leader, term} = this.group;
		return {
			leader: leader?.id ?? 'none',
			term,
			leaderStatusAgeMs: leader && Math.round(this.context.timers.nowMs() - leader.statusRequestedAtMs),
		};
	}

	async #run(statement: SingleStatement, isWrite: boolean, operation: Operation & {group: Group}): Promise<StatementResult> {
		if (isWrite) {
			return runSingleWrite(statement, operation, this.context);
		}

		return operation.route.consistency === 'primary'
			? runPrimaryRead(statement, operation, this.context)
			: runBoundedRead(statement, operation, this.context);
	}
}
