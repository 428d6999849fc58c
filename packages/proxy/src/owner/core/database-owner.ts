import {type Result, ok} from 'neverthrow';
import {type OwnerSeat, type SessionToken, type SessionTokenError} from '@dogwoodthread/coordination';
import {
	Access, type Begin, type ExecuteRequest, type ExecuteResponse, ExecuteRequestSchema, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {create} from '@bufbuild/protobuf';
import {notRun} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {ConfirmationGate} from './confirmation-gate.js';
import {type ExecutionContext, toWorkClass} from './execution-context.js';
import {GroupState, type Instance} from './group-state.js';
import {PromotionDriver} from './promotion-driver.js';
import {ReadExecution} from './read-execution.js';
import {TransactionExecution} from './transaction-execution.js';
import {WriteExecution} from './write-execution.js';

/** Serves one database while this proxy holds a seat for it. */
export class DatabaseOwner {
	readonly state: GroupState;
	readonly #writes: WriteExecution;
	readonly #reads: ReadExecution;
	readonly #transactions: TransactionExecution;
	readonly #promotionDriver: PromotionDriver;

	constructor(private readonly options: OwnerOptions) {
		this.state = new GroupState(options);
		const confirmationGate = new ConfirmationGate(options, this.state);
		this.#writes = new WriteExecution(options, this.state, confirmationGate);
		this.#reads = new ReadExecution(options, this.state, confirmationGate);
		this.#transactions = new TransactionExecution(options, this.state, confirmationGate, this.#writes);
		this.#promotionDriver = new PromotionDriver(options, this.state);
	}

	get seat(): OwnerSeat {
		return this.options.seat;
	}

	get isActing(): boolean {
		return this.options.isActing();
	}

	start(): void {
		this.state.start();
		this.#promotionDriver.start();
	}

	stop(): void {
		this.#promotionDriver.stop();
		this.state.stop();
	}

	async execute(request: ExecuteRequest, deadlineMs: number): Promise<ExecuteResponse> {
		const token = this.#decodeToken(request.sessionToken);
		if (token.isErr()) {
			return notRun(token.error.kind, token.error.message, 0);
		}

		this.state.recordUse();
		const context = this.#createContext(request, token.value, deadlineMs);
		return request.access === Access.READ ? this.#reads.execute(context) : this.#writes.execute(context);
	}

	async * transact(steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		this.state.recordUse();
		yield * this.#transactions.run(steps, begin => this.#createTransactionContext(begin));
	}

	/** Builds the entry of this database for the status page. */
	buildStatus() {
		const {tracker, primary, primaryLostSinceMs} = this.state;
		return {
			database: this.options.database,
			rank: this.seat.rank,
			generation: this.seat.generation,
			acting: this.isActing,
			term: tracker.term,
			primary: primary?.member.memberId,
			primaryLostForMs: primaryLostSinceMs === undefined ? undefined : Math.round(this.options.timers.nowMs() - primaryLostSinceMs),
			promotionFailed: this.isActing ? this.#promotionDriver.lastFailureKind : undefined,
			confirmedIndex: tracker.confirmedIndex,
			instances: [...this.state.instances.values()].map(instance => this.#buildInstanceStatus(instance)),
		};
	}

	#buildInstanceStatus(instance: Instance) {
		const {member, monitor, admission} = instance;
		const {status} = monitor.health;
		return {
			memberId: member.memberId,
			reachable: monitor.health.isMonitorUp,
			role: status?.role,
			fencedTerm: status?.fencedTerm,
			received: status?.received.index,
			applied: status?.applied.index,
			leaving: this.state.isLeaving(instance),
			queued: admission.queued,
			running: admission.running,
		};
	}

	#decodeToken(text: string): Result<SessionToken | undefined, SessionTokenError> {
		return text === '' ? ok(undefined) : this.options.tokenCodec.decode(text, this.options.database);
	}

	#createContext(request: ExecuteRequest, token: SessionToken | undefined, deadlineMs: number): ExecutionContext {
		const {policy} = this.options;
		const statementName = request.statement?.name ?? '';
		return {
			request,
			statementName,
			token,
			workClass: toWorkClass(request.workClass) ?? policy.findWorkClass(statementName),
			maxAgeMs: request.maxAgeMs ?? policy.findMaxAgeMs(statementName),
			deadlineMs,
		};
	}

	#createTransactionContext({database, sessionToken, workClass, timeoutMs, callerId}: Begin): Result<ExecutionContext, ExecuteResponse> {
		const {timers, policy} = this.options;
		const request = create(ExecuteRequestSchema, {
			database, sessionToken, workClass, callerId,
		});
		return this.#decodeToken(sessionToken)
			.mapErr(error => notRun(error.kind, error.message, 0))
			.map(token => ({
				...this.#createContext(request, token, timers.nowMs() + Math.min(timeoutMs, policy.transactionTimeoutMs)),
				workClass: toWorkClass(workClass),
			}));
	}
}
