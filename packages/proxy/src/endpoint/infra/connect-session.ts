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

type PendingRequest = {rows: Row[]; settle: (reply: EndpointReply) => void};
type RequestInit = Exclude<MessageInitShape<typeof SessionRequestSchema>['request'], undefined>;

export type ConnectSessionOptions = {
	client: Client<typeof EndpointService>;
	/** Manager of a TCP connection that no other session uses, so that a fault affects one session only. */
	sessionManager: Http2SessionManager;
	timers: TimerService;
};

/** A database connection over one Connect stream. A single task reads the responses until the stream ends. */
export class ConnectSession implements EndpointConnection {
	static async open(options: ConnectSessionOptions, identity: ConnectionIdentity, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>> {
		const session = new ConnectSession(options);
		const accepted = await session.#sendHello(identity, timeoutMs);
		if (accepted.isErr()) {
			session.close();
			return err(accepted.error);
		}

		return ok(session);
	}

	readonly #requests = new AsyncQueue<SessionRequest>();
	readonly #pending = new Map<bigint, PendingRequest>();
	readonly #closeListeners: Array<() => void> = [];
	// Starts at a random id, so that a response delivered to the wrong connection is very likely detected.
	#nextRequestId = BigInt(randomInt(2 ** 47));
	#isOpen = true;
	#settleHello: ((reply: Result<void, ConnectError>) => void) | undefined;

	private constructor(private readonly options: ConnectSessionOptions) {}

	get isUsable(): boolean {
		return this.#isOpen;
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
		this.#closeWith('connection-lost');
	}

	onClose(listener: () => void): void {
		this.#closeListeners.push(listener);
	}

	async #sendHello(identity: ConnectionIdentity, timeoutMs: number): Promise<Result<void, ConnectError>> {
		const accepted = new Promise<Result<void, ConnectError>>(resolve => {
			this.#settleHello = resolve;
		});
		const deadline = this.options.timers.after(timeoutMs, () => {
			this.#settleHello?.(err({kind: 'unreachable', message: `No answer to Hello within ${timeoutMs} ms; check the instance.`}));
		});
		this.#send({case: 'hello', value: {...identity, generation: BigInt(identity.generation)}});
		void this.#readResponses();
		const result = await accepted;
		deadline.cancel();
		this.#settleHello = undefined;
		return result;
	}

	async #call(build: (requestId: bigint) => RequestInit, timeoutMs: number): Promise<EndpointReply> {
		if (!this.#isOpen) {
			return {kind: 'refused', code: 'connection-closed', message: 'The connection was closed before the request was sent.'};
		}

		const requestId = this.#nextRequestId;
		this.#nextRequestId += 1n;
		return new Promise(resolve => {
			const deadline = this.options.timers.after(timeoutMs, () => {
				// The response may still arrive. The connection is not used again, so no other request can receive it.
				this.#closeWith('no-answer-in-time');
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

	async #readResponses(): Promise<void> {
		try {
			for await (const response of this.options.client.session(this.#requests)) {
				this.#acceptResponse(response);
			}
		} catch {
			// A broken stream is handled like one that ended normally: pending requests are lost.
		}

		this.#settleHello?.(err({kind: 'unreachable', message: 'The stream ended before Hello was accepted; check the instance.'}));
		this.#closeWith('connection-lost');
	}

	#acceptResponse({requestId, response}: SessionResponse): void {
		if (response.case === 'helloAccepted') {
			this.#settleHello?.(ok());
			return;
		}

		const pending = this.#pending.get(requestId);
		if (!pending) {
			if (response.case === 'refused' && this.#settleHello) {
				const {code, message} = response.value;
				this.#settleHello(err({kind: 'refused', code, message}));
				return;
			}

			// The response belongs to another request, so no later response on this connection can be trusted.
			this.#closeWith('foreign-answer');
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
				this.#closeWith('foreign-answer');
				break;
			}
		}
	}

	#complete(requestId: bigint, {rows, settle}: PendingRequest, completed: Completed): void {
		if (rows.length !== completed.rowCount) {
			this.#closeWith('incomplete-answer');
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

	#closeWith(reason: Extract<EndpointReply, {kind: 'lost'}>['reason']): void {
		if (!this.#isOpen) {
			return;
		}

		this.#isOpen = false;
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
