import {randomInt} from 'node:crypto';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {type Client} from '@connectrpc/connect';
import {type Http2SessionManager} from '@connectrpc/connect-node';
import {type TimerService} from '@dogwoodthread/coordination';
import {
	Access, type Completed, type EndpointService, type RequestKey, type Row, type SessionRequest, SessionRequestSchema,
	type SessionResponse,
} from '@dogwoodthread/protocol';
import {err, ok, type Result} from 'neverthrow';
import {toLogPosition} from '../../wire/index.js';
import {
	type ConnectError, type ConnectionIdentity, type EndpointConnection, type EndpointReply, type StatementCall,
} from '../definitions.js';
import {AsyncQueue} from './async-queue.js';

type Pending = {rows: Row[]; settle: (reply: EndpointReply) => void};
type RequestInit = Exclude<MessageInitShape<typeof SessionRequestSchema>['request'], undefined>;

export type ConnectSessionOptions = {
	client: Client<typeof EndpointService>;
	/** TCP connection of its own, so that a fault of one connection stays with it. */
	sessionManager: Http2SessionManager;
	timers: TimerService;
};

/** A database connection over one Connect stream. One task reads the answers until the stream ends. */
export class ConnectSession implements EndpointConnection {
	static async open(options: ConnectSessionOptions, identity: ConnectionIdentity, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>> {
		const session = new ConnectSession(options);
		const accepted = await session.#hello(identity, timeoutMs);
		if (accepted.isErr()) {
			session.close();
			return err(accepted.error);
		}

		return ok(session);
	}

	readonly #requests = new AsyncQueue<SessionRequest>();
	readonly #pending = new Map<bigint, Pending>();
	readonly #closeListeners: Array<() => void> = [];
	// Ids of two connections rarely meet, so an answer that strays to another connection is noticed.
	#nextId = BigInt(randomInt(2 ** 47));
	#open = true;
	#helloSettle: ((reply: Result<void, ConnectError>) => void) | undefined;

	private constructor(private readonly options: ConnectSessionOptions) {}

	get usable(): boolean {
		return this.#open;
	}

	async execute({term, statement, access, requestKey}: StatementCall, timeoutMs: number): Promise<EndpointReply> {
		return this.#call(requestId => ({
			case: 'execute',
			value: {
				requestId, term: BigInt(term), statement, requestKey, access: access === 'read' ? Access.READ : Access.WRITE,
			},
		}), timeoutMs);
	}

	async begin(term: number, timeoutMs: number): Promise<EndpointReply> {
		return this.#call(requestId => ({case: 'begin', value: {requestId, term: BigInt(term)}}), timeoutMs);
	}

	async commit(requestKey: RequestKey | undefined, timeoutMs: number): Promise<EndpointReply> {
		return this.#call(requestId => ({case: 'commit', value: {requestId, requestKey}}), timeoutMs);
	}

	async rollback(timeoutMs: number): Promise<EndpointReply> {
		return this.#call(requestId => ({case: 'rollback', value: {requestId}}), timeoutMs);
	}

	close(): void {
		this.#end('connection-lost');
	}

	onClose(listener: () => void): void {
		this.#closeListeners.push(listener);
	}

	async #hello(identity: ConnectionIdentity, timeoutMs: number): Promise<Result<void, ConnectError>> {
		const accepted = new Promise<Result<void, ConnectError>>(resolve => {
			this.#helloSettle = resolve;
		});
		const deadline = this.options.timers.after(timeoutMs, () => {
			this.#helloSettle?.(err({kind: 'unreachable', message: `No answer to Hello within ${timeoutMs} ms; check the instance.`}));
		});
		this.#send({case: 'hello', value: {...identity, generation: BigInt(identity.generation)}});
		void this.#readAnswers();
		const result = await accepted;
		deadline.cancel();
		this.#helloSettle = undefined;
		return result;
	}

	async #call(build: (requestId: bigint) => RequestInit, timeoutMs: number): Promise<EndpointReply> {
		if (!this.#open) {
			return {kind: 'refused', code: 'connection-closed', message: 'The connection was closed before the request was sent.'};
		}

		const requestId = this.#nextId;
		this.#nextId += 1n;
		return new Promise(resolve => {
			const deadline = this.options.timers.after(timeoutMs, () => {
				// The answer may still come; the connection is not used again, so nobody else can get it.
				this.#end('no-answer-in-time');
			});
			this.#pending.set(requestId, {
				rows: [],
				settle(reply) {
					deadline.cancel();
					resolve(reply);
				},
			});
			this.#send(build(requestId));
		});
	}

	#send(request: RequestInit): void {
		this.#requests.push(create(SessionRequestSchema, {request}));
	}

	async #readAnswers(): Promise<void> {
		try {
			for await (const answer of this.options.client.session(this.#requests)) {
				this.#accept(answer);
			}
		} catch {
			// A cut stream is handled like an ended one: what is pending is lost.
		}

		this.#helloSettle?.(err({kind: 'unreachable', message: 'The stream ended before Hello was accepted; check the instance.'}));
		this.#end('connection-lost');
	}

	#accept({requestId, response}: SessionResponse): void {
		if (response.case === 'helloAccepted') {
			this.#helloSettle?.(ok());
			return;
		}

		const pending = this.#pending.get(requestId);
		if (!pending) {
			if (response.case === 'refused' && this.#helloSettle) {
				const {code, message} = response.value;
				this.#helloSettle(err({kind: 'refused', code, message}));
				return;
			}

			// The answer belongs to another request; nothing on this connection can be trusted any more.
			this.#end('foreign-answer');
			return;
		}

		switch (response.case) {
			case 'rows': {
				pending.rows.push(...response.value.rows);
				break;
			}

			case 'completed': {
				this.#complete(requestId, pending, response.value);
				break;
			}

			case 'refused': {
				this.#pending.delete(requestId);
				pending.settle({kind: 'refused', code: response.value.code, message: response.value.message});
				break;
			}

			case undefined: {
				this.#end('foreign-answer');
				break;
			}
		}
	}

	#complete(requestId: bigint, {rows, settle}: Pending, completed: Completed): void {
		if (rows.length !== completed.rowCount) {
			this.#end('incomplete-answer');
			return;
		}

		this.#pending.delete(requestId);
		settle({
			kind: 'completed',
			completion: {
				rows,
				position: toLogPosition(completed.position),
				verifiedTerm: Number(completed.verifiedTerm),
				statementError: completed.statementError,
				repeated: completed.repeated,
				serviceMs: completed.serviceUs / 1000,
			},
		});
	}

	#end(reason: Extract<EndpointReply, {kind: 'lost'}>['reason']): void {
		if (!this.#open) {
			return;
		}

		this.#open = false;
		this.#requests.close();
		this.options.sessionManager.abort();
		const pending = [...this.#pending.values()];
		this.#pending.clear();
		for (const {settle} of pending) {
			settle({kind: 'lost', reason});
		}

		for (const listener of this.#closeListeners) {
			listener();
		}
	}
}
