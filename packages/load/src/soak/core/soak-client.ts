import {type ClientReply, LineClient} from '@dogwoodthread/platform/standin';
import {type SeededRandom} from '../../workload/index.js';
import {type ClientAttempt, type SoakDatabase} from '../definitions.js';
import {type SoakHost} from './soak-fleet.js';

export type SoakClientOptions = {
	number: number;
	hosts: readonly SoakHost[];
	databases: readonly SoakDatabase[];
	random: SeededRandom;
	onAttempt: (attempt: ClientAttempt) => void;
};

type Sent = Pick<ClientAttempt, 'statementId' | 'access' | 'item' | 'data' | 'shape'>;
type Session = {
	id: number;
	host: SoakHost;
	database: SoakDatabase;
	line: LineClient;
	values: Record<string, string>;
	preparedShapes: Map<string, string>;
};
type Transaction = {id: number; beganAtMs: number} | undefined;

const promises = new Set(['busy', 'aborted', 'lagging', 'read-only', 'wrong-endpoint', 'connection-limit']);
/** Room for the session numbers of one client. */
const sessionsPerClient = 1_000_000;
const items = 30;
const longestPauseMs = 60;
const longestTransaction = 4;
const longestSession = 25;
const transactionShare = 0.3;
const writeShare = 0.4;
const setShare = 0.05;
const leaveShare = 0.03;
const executeShare = 0.3;
const reconnectMs = 100;

/** A client that opens sessions at random hosts and keeps each until it ends or is lost. */
export class SoakClient {
	#isStopping = false;
	#counter = 0;

	constructor(private readonly options: SoakClientOptions) {}

	stop(): void {
		this.#isStopping = true;
	}

	/** Runs sessions until it is stopped. */
	async run(): Promise<void> {
		while (!this.#isStopping) {
			await this.#runSession();
			await this.#pause(reconnectMs);
		}
	}

	/** One write in a session of its own; gives whether it was acknowledged. */
	async tryWrite(host: SoakHost, database: SoakDatabase): Promise<boolean> {
		const session = await this.#open(host, database);
		const reply = session && await this.#write(session, `item-${this.options.number}`);
		session?.line.destroy();
		return reply?.kind === 'done';
	}

	async #open(host: SoakHost, database: SoakDatabase): Promise<Session | undefined> {
		const line = new LineClient(host.clientLink.port);
		const opened = await line.startSession(database.name);
		if (opened.kind !== 'done') {
			line.destroy();
			return undefined;
		}

		this.#counter += 1;
		return {
			id: (this.options.number * sessionsPerClient) + this.#counter, host, database, line, values: {}, preparedShapes: new Map(),
		};
	}

	async #write(session: Session, item: string): Promise<ClientReply> {
		const statementId = this.#nextId();
		const data = `data-${statementId}`;
		return this.#record(session, undefined, {
			statementId, access: 'write', item, data, shape: undefined,
		}, async () => session.line.write(statementId, item, data));
	}

	async #runSession(): Promise<void> {
		const {random, hosts, databases} = this.options;
		const session = await this.#open(random.pick(hosts)!, random.pick(databases)!);
		if (session) {
			let remaining = random.int(1, longestSession);
			while (remaining > 0 && !this.#isStopping && await this.#runOperation(session)) {
				remaining -= 1;
				await this.#pause(longestPauseMs);
			}

			session.line.destroy();
		}
	}

	/** Gives whether the session goes on. */
	async #runOperation(session: Session): Promise<boolean> {
		const {random} = this.options;
		const choice = random.fraction();
		if (choice < setShare) {
			return this.#set(session);
		}

		if (choice < setShare + transactionShare) {
			return this.#runTransaction(session);
		}

		const reply = await this.#runStatement(session, undefined);
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #set(session: Session): Promise<boolean> {
		const id = this.#nextId();
		const name = `v${this.options.random.int(0, 2)}`;
		const reply = await session.line.set(id, name, id);
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
		const begun = await session.line.begin(this.#nextId(), isReadOnly);
		if (begun.kind !== 'done') {
			return false;
		}

		for (let remaining = random.int(1, longestTransaction); remaining > 0; remaining -= 1) {
			const reply = await this.#runStatement(session, transaction, isReadOnly);
			if (reply.kind === 'lost' || random.fraction() < leaveShare) {
				return false;
			}

			if (reply.kind === 'refused') {
				return this.#rollBack(session);
			}

			await this.#pause(longestPauseMs);
		}

		return random.fraction() < leaveShare ? this.#rollBack(session) : this.#commit(session, transaction);
	}

	async #rollBack({line}: Session): Promise<boolean> {
		const reply = await line.rollback(this.#nextId());
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #commit(session: Session, transaction: Transaction): Promise<boolean> {
		const statementId = this.#nextId();
		const reply = await this.#record(session, transaction, {
			statementId, access: 'commit', item: undefined, data: undefined, shape: undefined,
		}, async () => session.line.commit(statementId));
		return reply.kind !== 'lost' && reply.transaction === 'idle';
	}

	async #runStatement(session: Session, transaction: Transaction, isReadOnly = false): Promise<ClientReply> {
		const {random} = this.options;
		const access = !isReadOnly && random.fraction() < writeShare ? 'write' : 'read';
		const shape = random.fraction() < executeShare && !transaction ? `q${random.int(0, 3)}` : undefined;
		if (shape) {
			const prepared = await this.#prepare(session, access, shape);
			if (prepared.kind !== 'done') {
				return {kind: 'lost', reason: 'not prepared'};
			}
		}

		const statementId = this.#nextId();
		const item = `item-${random.int(1, items)}`;
		const data = access === 'write' ? `data-${statementId}` : undefined;
		return this.#record(session, transaction, {
			statementId, access, item, data, shape,
		}, async () => {
			if (shape) {
				return session.line.execute(statementId, access, item, data);
			}

			return data === undefined ? session.line.read(statementId, item) : session.line.write(statementId, item, data);
		});
	}

	/** All clients use the same two names. */
	async #prepare(session: Session, access: 'read' | 'write', shape: string): Promise<ClientReply> {
		const known = session.preparedShapes.get(access);
		if (known === shape) {
			return {
				kind: 'done', signature: '', rows: [], transaction: 'idle',
			};
		}

		const reply = await session.line.prepare(this.#nextId(), access, access, shape);
		session.preparedShapes.set(access, shape);
		return reply;
	}

	async #record(session: Session, transaction: Transaction, sent: Sent, send: () => Promise<ClientReply>): Promise<ClientReply> {
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
			...outcomeOf(reply),
		});
		return reply;
	}

	#nextId(): string {
		this.#counter += 1;
		return `c${this.options.number}-${this.#counter}`;
	}

	async #pause(longestMs: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, this.options.random.int(0, longestMs));
		});
	}
}

function outcomeOf(reply: ClientReply): Pick<ClientAttempt, 'outcome' | 'reason' | 'signature' | 'rows'> {
	if (reply.kind === 'done') {
		return {
			outcome: 'done', reason: '', signature: reply.signature, rows: reply.rows,
		};
	}

	return reply.kind === 'refused'
		? {
			outcome: promises.has(reply.code) ? 'promised-not-run' : 'unknown', reason: reply.code, signature: '', rows: [],
		}
		: {
			outcome: 'unknown', reason: reply.reason, signature: '', rows: [],
		};
}
