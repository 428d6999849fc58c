import {type ClientReply, LineClient} from '@dogwoodthread/platform/standin';
import {type SeededRandom} from '../../workload/index.js';
import {type ClientAttempt, type SoakDatabase} from '../definitions.js';
import {type SoakHost} from './soak-fleet.js';

export type SoakClientOptions = {
	clientNumber: number;
	hosts: readonly SoakHost[];
	databases: readonly SoakDatabase[];
	random: SeededRandom;
	onAttempt: (attempt: ClientAttempt) => void;
};

type StatementFields = Pick<ClientAttempt, 'statementId' | 'access' | 'item' | 'data' | 'shape'>;
type Session = {
	id: number;
	host: SoakHost;
	database: SoakDatabase;
	connection: LineClient;
	values: Record<string, string>;
	preparedShapes: Map<string, string>;
};
type Transaction = {id: number; beganAtMs: number} | undefined;

/** Error codes that guarantee that nothing of the statement takes effect. */
const notRunCodes = new Set(['busy', 'aborted', 'lagging', 'read-only', 'wrong-endpoint', 'connection-limit']);
/** Distance between the session ids of two clients, so that no two sessions share an id. */
const sessionIdStride = 1_000_000;
const itemCount = 30;
const maxPauseMs = 60;
const maxTransactionStatements = 4;
const maxSessionOperations = 25;
const transactionShare = 0.3;
const writeShare = 0.4;
const sessionValueShare = 0.05;
const abandonShare = 0.03;
const preparedShare = 0.3;
const maxReconnectDelayMs = 100;

/** A client that opens one session after another, each with a random host, and reports every statement. */
export class SoakClient {
	#isStopping = false;
	#counter = 0;

	constructor(private readonly options: SoakClientOptions) {}

	stop(): void {
		this.#isStopping = true;
	}

	/** Runs sessions until `stop` is called. */
	async run(): Promise<void> {
		while (!this.#isStopping) {
			await this.#runSession();
			await this.#pauseRandomly(maxReconnectDelayMs);
		}
	}

	/** Runs one write in a new session and returns whether it was acknowledged. */
	async tryWrite(host: SoakHost, database: SoakDatabase): Promise<boolean> {
		const session = await this.#openSession(host, database);
		const reply = session && await this.#runWrite(session, `item-${this.options.clientNumber}`);
		session?.connection.destroy();
		return reply?.kind === 'done';
	}

	async #openSession(host: SoakHost, database: SoakDatabase): Promise<Session | undefined> {
		const connection = new LineClient(host.clientLink.port);
		const opened = await connection.startSession(database.name);
		if (opened.kind !== 'done') {
			connection.destroy();
			return undefined;
		}

		this.#counter += 1;
		return {
			id: (this.options.clientNumber * sessionIdStride) + this.#counter, host, database, connection, values: {}, preparedShapes: new Map(),
		};
	}

	async #runWrite(session: Session, item: string): Promise<ClientReply> {
		const statementId = this.#nextId();
		const data = `data-${statementId}`;
		return this.#record(session, undefined, {
			statementId, access: 'write', item, data, shape: undefined,
		}, async () => session.connection.write(statementId, item, data));
	}

	async #runSession(): Promise<void> {
		const {random, hosts, databases} = this.options;
		const session = await this.#openSession(random.pick(hosts)!, random.pick(databases)!);
		if (session) {
			let remaining = random.int(1, maxSessionOperations);
			while (remaining > 0 && !this.#isStopping && await this.#runOperation(session)) {
				remaining -= 1;
				await this.#pauseRandomly(maxPauseMs);
			}

			session.connection.destroy();
		}
	}

	/** Returns whether the session can continue. */
	async #runOperation(session: Session): Promise<boolean> {
		const {random} = this.options;
		const choice = random.fraction();
		if (choice < sessionValueShare) {
			return this.#setSessionValue(session);
		}

		if (choice < sessionValueShare + transactionShare) {
			return this.#runTransaction(session);
		}

		const reply = await this.#runStatement(session, undefined);
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #setSessionValue(session: Session): Promise<boolean> {
		const id = this.#nextId();
		const name = `v${this.options.random.int(0, 2)}`;
		const reply = await session.connection.set(id, name, id);
		if (reply.kind === 'done') {
			session.values[name] = id;
		}

		return reply.kind === 'done';
	}

	async #runTransaction(session: Session): Promise<boolean> {
		const {random} = this.options;
		const isReadOnly = random.fraction() < 1 - writeShare;
		this.#counter += 1;
		const transaction = {id: this.#counter, beganAtMs: performance.now()};
		const beginReply = await session.connection.begin(this.#nextId(), isReadOnly);
		if (beginReply.kind !== 'done') {
			return false;
		}

		for (let remaining = random.int(1, maxTransactionStatements); remaining > 0; remaining -= 1) {
			const reply = await this.#runStatement(session, transaction, isReadOnly);
			if (reply.kind === 'lost' || random.fraction() < abandonShare) {
				return false;
			}

			if (reply.kind === 'refused') {
				return this.#rollBack(session);
			}

			await this.#pauseRandomly(maxPauseMs);
		}

		return random.fraction() < abandonShare ? this.#rollBack(session) : this.#commit(session, transaction);
	}

	async #rollBack({connection}: Session): Promise<boolean> {
		const reply = await connection.rollback(this.#nextId());
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #commit(session: Session, transaction: Transaction): Promise<boolean> {
		const statementId = this.#nextId();
		const reply = await this.#record(session, transaction, {
			statementId, access: 'commit', item: undefined, data: undefined, shape: undefined,
		}, async () => session.connection.commit(statementId));
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #runStatement(session: Session, transaction: Transaction, isReadOnly = false): Promise<ClientReply> {
		const {random} = this.options;
		const access = !isReadOnly && random.fraction() < writeShare ? 'write' : 'read';
		const shape = random.fraction() < preparedShare && !transaction ? `q${random.int(0, 3)}` : undefined;
		if (shape) {
			const prepared = await this.#prepare(session, access, shape);
			if (prepared.kind !== 'done') {
				return {kind: 'lost', reason: 'not prepared'};
			}
		}

		const statementId = this.#nextId();
		const item = `item-${random.int(1, itemCount)}`;
		const data = access === 'write' ? `data-${statementId}` : undefined;
		return this.#record(session, transaction, {
			statementId, access, item, data, shape,
		}, async () => {
			if (shape) {
				return session.connection.execute(statementId, access, item, data);
			}

			return data === undefined ? session.connection.read(statementId, item) : session.connection.write(statementId, item, data);
		});
	}

	/** All clients prepare their statements under the same two names, `read` and `write`. */
	async #prepare(session: Session, access: 'read' | 'write', shape: string): Promise<ClientReply> {
		const preparedShape = session.preparedShapes.get(access);
		if (preparedShape === shape) {
			return {
				kind: 'done', signature: '', rows: [], transaction: 'idle',
			};
		}

		const reply = await session.connection.prepare(this.#nextId(), access, access, shape);
		session.preparedShapes.set(access, shape);
		return reply;
	}

	async #record(session: Session, transaction: Transaction, sent: StatementFields, send: () => Promise<ClientReply>): Promise<ClientReply> {
		const sentAtMs = performance.now();
		const reply = await send();
		this.options.onAttempt({
			...sent,
			sessionId: session.id,
			transactionId: transaction?.id,
			hostIndex: session.host.index,
			database: session.database.name,
			sessionValues: {...session.values},
			beganAtMs: transaction?.beganAtMs ?? sentAtMs,
			sentAtMs,
			endedAtMs: performance.now(),
			...outcomeFields(reply),
		});
		return reply;
	}

	#nextId(): string {
		this.#counter += 1;
		return `c${this.options.clientNumber}-${this.#counter}`;
	}

	async #pauseRandomly(maxMs: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, this.options.random.int(0, maxMs));
		});
	}
}

function outcomeFields(reply: ClientReply): Pick<ClientAttempt, 'outcome' | 'reason' | 'signature' | 'rows'> {
	if (reply.kind === 'done') {
		return {
			outcome: 'done', reason: '', signature: reply.signature, rows: reply.rows,
		};
	}

	return reply.kind === 'refused'
		? {
			outcome: notRunCodes.has(reply.code) ? 'promised-not-run' : 'unknown', reason: reply.code, signature: '', rows: [],
		}
		: {
			outcome: 'unknown', reason: reply.reason, signature: '', rows: [],
		};
}
