import {
	type ClientReply, fieldWord, formatTextStatement, lastField, LineClient, SampleSource, type TextStatement,
} from '@dogwoodthread/platform/standin';
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

type StatementFields = Pick<ClientAttempt, 'statementId' | 'access' | 'item' | 'data' | 'shape' | 'text'>;
type Access = 'read' | 'write';
type Prepared = {name: string; shape: string};
type Session = {
	id: number;
	host: SoakHost;
	database: SoakDatabase;
	connection: LineClient;
	values: Map<string, string>;
	/** The statement of each access that was prepared last. */
	prepared: Map<Access, Prepared>;
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
/** Share of the fields that are any text of the protocol. The checks of stale reads need items that several clients use. */
const oddTextShare = 0.1;
const maxSampleSeed = 1_000_000_000;
const oddTextOptions = {weights: {usual: 0, odd: 200, long: 1}, maxBytes: 20_000};

/** A client that opens one session after another, each with a random host, and reports every statement. */
export class SoakClient {
	#isStopping = false;
	#counter = 0;
	readonly #oddWords: SampleSource<string>;
	readonly #oddFields: SampleSource<string>;

	constructor(private readonly options: SoakClientOptions) {
		this.#oddWords = new SampleSource(fieldWord(oddTextOptions), options.random.int(0, maxSampleSeed));
		this.#oddFields = new SampleSource(lastField(oddTextOptions), options.random.int(0, maxSampleSeed));
	}

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
			id: (this.options.clientNumber * sessionIdStride) + this.#counter, host, database, connection, values: new Map(), prepared: new Map(),
		};
	}

	async #runWrite(session: Session, item: string): Promise<ClientReply> {
		const statementId = this.#nextId();
		return this.#runRecorded(session, undefined, {
			statementId, access: 'write', item, data: `data-${statementId}`, shape: undefined,
		});
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
		const name = this.#choose(`v${this.options.random.int(0, 2)}`, this.#oddWords);
		const value = this.#choose(id, this.#oddFields);
		const reply = await session.connection.set(id, name, value);
		if (reply.kind === 'done') {
			session.values.set(name, value);
		}

		return reply.kind === 'done';
	}

	/** Mostly the usual text, at times any other. */
	#choose(usual: string, odd: SampleSource<string>): string {
		return this.options.random.fraction() < oddTextShare ? odd.next() : usual;
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
		const reply = await this.#runRecorded(session, transaction, {
			statementId, access: 'commit', item: undefined, data: undefined, shape: undefined,
		});
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #runStatement(session: Session, transaction: Transaction, isReadOnly = false): Promise<ClientReply> {
		const {random} = this.options;
		const access = !isReadOnly && random.fraction() < writeShare ? 'write' : 'read';
		const isPrepared = random.fraction() < preparedShare && !transaction;
		const prepared = isPrepared ? await this.#prepare(session, access) : undefined;
		if (isPrepared && !prepared) {
			return {kind: 'lost', reason: 'not prepared'};
		}

		const statementId = this.#nextId();
		// The item is the last field of `READ` only.
		const item = this.#choose(`item-${random.int(1, itemCount)}`, access === 'read' && !prepared ? this.#oddFields : this.#oddWords);
		const data = access === 'write' ? this.#choose(`data-${statementId}`, this.#oddFields) : undefined;
		return this.#runRecorded(session, transaction, {
			statementId, access, item, data, shape: prepared?.shape,
		}, prepared?.name);
	}

	/** Clients mostly prepare their statements under the same two names, `read` and `write`. */
	async #prepare(session: Session, access: Access): Promise<Prepared | undefined> {
		const shape = this.#choose(`q${this.options.random.int(0, 3)}`, this.#oddFields);
		const current = session.prepared.get(access);
		if (current?.shape === shape) {
			return current;
		}

		const prepared = {name: this.#choose(access, this.#oddWords), shape};
		const reply = await session.connection.prepare(this.#nextId(), prepared.name, access, shape);
		if (reply.kind !== 'done') {
			return undefined;
		}

		// A name that both accesses have drawn now stands for this statement.
		for (const [other, {name}] of session.prepared) {
			if (name === prepared.name) {
				session.prepared.delete(other);
			}
		}

		session.prepared.set(access, prepared);
		return prepared;
	}

	async #runRecorded(session: Session, transaction: Transaction, sent: Omit<StatementFields, 'text'>, preparedName?: string): Promise<ClientReply> {
		const text = formatTextStatement(toTextStatement(sent, preparedName));
		const sentAtMs = performance.now();
		const reply = await session.connection.run(sent.statementId, text);
		this.options.onAttempt({
			...sent,
			text,
			sessionId: session.id,
			transactionId: transaction?.id,
			hostIndex: session.host.index,
			database: session.database.name,
			sessionValues: Object.fromEntries(session.values),
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

function toTextStatement({access, item = '', data}: Omit<StatementFields, 'text'>, preparedName: string | undefined): TextStatement {
	if (preparedName !== undefined) {
		return {
			kind: 'execute', name: preparedName, item, data,
		};
	}

	switch (access) {
		case 'commit': {
			return {kind: 'commit'};
		}

		case 'read': {
			return {kind: 'read', item};
		}

		case 'write': {
			return {kind: 'write', item, data: data ?? ''};
		}
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
