import {
	Code, ConnectError, createClient, type Client,
} from '@connectrpc/connect';
import {createConnectTransport, type Http2SessionManager} from '@connectrpc/connect-node';
import {
	Access, CallerService, WorkClass, type ExecuteResponse,
} from '@dogwoodthread/protocol';
import {GuardedSessionManager} from '@dogwoodthread/proxy';
import {type JsonRow} from '../../history/index.js';
import {type CallAnswer, type CallerClient, type CallRequest} from '../definitions.js';

/** Added to the request's time limit, within which the proxy answers, for the transport in both directions. */
const transportAllowanceMs = 1000;

const workClasses = {
	critical: WorkClass.CRITICAL, short: WorkClass.SHORT, browse: WorkClass.BROWSE, long: WorkClass.LONG,
};

const toAnswer = ({outcome}: ExecuteResponse): CallAnswer => {
	switch (outcome.case) {
		case 'done': {
			const {rows, statementError, sessionToken, repeated, servedBy, byReplica, ageBoundMs} = outcome.value;
			return {
				outcome: 'done',
				rows: rows.map(row => JSON.parse(row.json) as JsonRow),
				statementError: statementError?.code,
				sessionToken,
				isRepeated: repeated,
				servedBy,
				isByReplica: byReplica,
				ageBoundMs,
			};
		}

		case 'notRun': {
			const {code, retryAfterMs} = outcome.value;
			return {outcome: 'not-run', code, retryAfterMs};
		}

		case 'unknown': {
			const {code, retryAfterMs} = outcome.value;
			return {
				outcome: 'unknown', code, retryAfterMs, isCut: false,
			};
		}

		case undefined: {
			return {
				outcome: 'unknown', code: 'empty-answer', retryAfterMs: 0, isCut: true,
			};
		}
	}
};

/** Whether no proxy processed the request: the connection was refused, or HTTP/2 reported REFUSED_STREAM. */
const isKnownUnprocessed = (error: ConnectError): boolean => {
	const cause = error.cause as {code?: string} | undefined;
	return cause?.code === 'ECONNREFUSED' || error.message.includes('ECONNREFUSED') || error.message.includes('REFUSED_STREAM');
};

const toFailure = (reason: unknown): CallAnswer => {
	const error = ConnectError.from(reason);
	if (isKnownUnprocessed(error)) {
		return {outcome: 'not-run', code: 'connection-refused', retryAfterMs: 10};
	}

	const isTimeout = error.code === Code.DeadlineExceeded;
	return {
		outcome: 'unknown', code: isTimeout ? 'timeout' : `${Code[error.code]}: ${error.rawMessage}`, retryAfterMs: 0, isCut: !isTimeout,
	};
};

type Connection = {client: Client<typeof CallerService>; sessions: Http2SessionManager};

/** Calls proxies over Connect and HTTP/2, with one connection per proxy. */
export class ConnectCallerClient implements CallerClient {
	readonly #connections = new Map<string, Connection>();

	async execute(proxyAddress: string, request: CallRequest): Promise<CallAnswer> {
		const {statement, parameters, access, workClass, requestKey, ...rest} = request;
		try {
			return toAnswer(await this.#findOrCreateConnection(proxyAddress).client.execute({
				...rest,
				statement: {name: statement, parametersJson: JSON.stringify(parameters)},
				access: access === 'read' ? Access.READ : Access.WRITE,
				workClass: workClasses[workClass],
				requestKey: requestKey && {key: requestKey.key, issuedUnixMs: BigInt(requestKey.issuedUnixMs)},
			}, {timeoutMs: request.timeoutMs + transportAllowanceMs}));
		} catch (error) {
			return toFailure(error);
		}
	}

	close(): void {
		for (const {sessions} of this.#connections.values()) {
			sessions.abort();
		}

		this.#connections.clear();
	}

	#findOrCreateConnection(proxyAddress: string): Connection {
		const existing = this.#connections.get(proxyAddress);
		if (existing) {
			return existing;
		}

		const baseUrl = `http://${proxyAddress}`;
		const sessions = new GuardedSessionManager(baseUrl);
		const client = createClient(CallerService, createConnectTransport({
			httpVersion: '2', baseUrl, sessionManager: sessions, acceptCompression: [],
		}));
		const connection = {client, sessions};
		this.#connections.set(proxyAddress, connection);
		return connection;
	}
}
