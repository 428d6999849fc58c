import {type Catalog} from '../catalog/index.js';
import {isSampled} from '../observability/index.js';
import {type ClientStatement} from '../statement/index.js';
import {type StatementFailure} from './errors.js';
import {type Executor, type StatementResult} from './executor.js';
import {type Operation, type OperationContext} from './operation.js';

export type StatementLogOptions = OperationContext & {catalog: Catalog; database: string};

/** A statement that an executor has run, for the log. */
export type ExecutedStatement = {
	operation: Operation;
	result: StatementResult;
	statementKind: string;
	executor: Executor;
	/** Ids of the statements of the enclosing transaction; empty outside a transaction. */
	transactionIds: readonly string[];
};

/** A served statement that took longer than the route's latency objective times this factor is always logged. */
const slowObjectiveFactor = 1;

const refusalCodes: ReadonlySet<string> = new Set(['busy', 'lagging', 'read-only', 'aborted']);

/** Counts the outcomes of one session's statements, and logs the failed, the slow and a sample of the others. */
export class StatementLog {
	constructor(private readonly options: StatementLogOptions) {}

	recordOutcome({operation, result, statementKind, executor, transactionIds}: ExecutedStatement): void {
		const {timers, events, metrics, catalog, database} = this.options;
		const {
			route, id, arrivedAtMs, progress,
		} = operation;
		const totalMs = timers.nowMs() - arrivedAtMs;
		const code = result.isOk() ? 'served' : result.error.code;
		metrics.recordRequest(route.consistency, code, totalMs);
		if (result.isOk() && totalMs <= slowObjectiveFactor * route.latencyObjectiveMs && !isSampled(id)) {
			return;
		}

		const isRefusal = refusalCodes.has(code);
		events.write(result.isOk() ? 'request-served' : (isRefusal ? 'request-refused' : 'request-failed'), {
			requestId: id,
			database,
			service: route.service,
			statementKind,
			consistency: route.consistency,
			code,
			reason: result.isErr() ? result.error.reason : undefined,
			detail: result.isErr() && result.error.fromEndpoint ? result.error.text : undefined,
			totalMs: Math.round(totalMs),
			attempts: progress.attempts,
			positionMs: Math.round(progress.positionMs),
			connectionMs: Math.round(progress.connectionMs),
			transactionIds: result.isErr() && transactionIds.length > 0 ? transactionIds.join(' ') : undefined,
			configurationVersion: catalog.version,
			...executor.logFields(),
		});
	}

	/** Records a statement that was not passed to an executor, or whose transaction cannot continue. */
	recordRejection(statement: ClientStatement, {code, reason}: StatementFailure, detail: string, transactionIds: readonly string[] | undefined): void {
		const {timers, events, catalog, database} = this.options;
		events.write('request-refused', {
			requestId: statement.id,
			database,
			statementKind: statement.kind,
			code,
			reason,
			detail,
			transactionIds: transactionIds?.join(' '),
			configurationVersion: catalog.version,
			configurationAgeMs: catalog.ageMs('configuration', timers.nowMs()),
		});
	}
}
