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

/** The proxy answers within the request's deadline; this is for the way there and back. */
const transportGraceMs = 1000;

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

/** The request never reached a proxy: nothing listens, or HTTP/2 says that it was not processed. */
const isUnsent = (error: ConnectError): boolean => {
	const cause = error.cause as {code?: string} | undefined;
	return cause?.code === 'ECONNREFUSED' || error.message.includes('ECONNREFUSED') || error.message.includes('REFUSED_STREAM');
};

const toFailure = (reason: unknown): CallAnswer => {
	const error = ConnectError.from(reason);
	if (isUnsent(error)) {
		return {outcome: 'not-run', code: 'connection-refused', retryAfterMs: 10};
	}

	const isTimeout = error.code === Code.DeadlineExceeded;
	return {
		outcome: 'unknown', code: isTimeout ? 'timeout' : `${Code[error.code]}: ${error.rawMessage}`, retryAfterMs: 0, isCut: !isTimeout,
	};
};

type Connection = {client: Client<typeof CallerService>; sessions: Http2SessionManager};

/** Calls proxies over Connect and HTTP/2, with one connection to each of them. */
export class ConnectCallerClient implements CallerClient {
	readonly #connections = new Map<string, Connection>();

	async execute(proxyAddress: string, request: CallRequest): Promise<CallAnswer> {
		const {statement, parameters, access, workClass, requestKey, ...rest} = request;
		try {
			return toAnswer(await this.#connectionTo(proxyAddress).client.execute({
				...rest,
				statement: {name: statement, parametersJson: JSON.stringify(parameters)},
				access: access === 'read' ? Access.READ : Access.WRITE,
				workClass: workClasses[workClass],
				requestKey: requestKey && {key: requestKey.key, issuedUnixMs: BigInt(requestKey.issuedUnixMs)},
			}, {timeoutMs: request.timeoutMs + transportGraceMs}));
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

	#connectionTo(proxyAddress: string): Connection {
		const known = this.#connections.get(proxyAddress);
		if (known) {
			return known;
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
