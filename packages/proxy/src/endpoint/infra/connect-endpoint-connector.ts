import {create} from '@bufbuild/protobuf';
import {type Client, createClient} from '@connectrpc/connect';
import {createConnectTransport, type Http2SessionManager} from '@connectrpc/connect-node';
import {
	type ControlReply, type FenceReply, type GroupMember, type TimerService,
} from '@dogwoodthread/coordination';
import {
	EndpointService, HelloSchema, type MonitorRequest, MonitorRequestSchema,
} from '@dogwoodthread/protocol';
import {err, ok, type Result} from 'neverthrow';
import {GuardedSessionManager} from '../../http2/index.js';
import {toLogPosition, toMemberStatus} from '../../wire/index.js';
import {
	type ConnectError, type ConnectionIdentity, type ControlError, type EndpointConnection, type EndpointConnector,
	type EndpointMonitor, type StatusListener,
} from '../definitions.js';
import {AsyncQueue} from './async-queue.js';
import {ConnectSession} from './connect-session.js';

type Channel = {client: Client<typeof EndpointService>; sessionManager: Http2SessionManager};

const buildUnreachableError = (message: string): ConnectError => ({kind: 'unreachable', message});

/** Opens connections to instances over Connect and HTTP/2, each with its own TCP connection. */
export class ConnectEndpointConnector implements EndpointConnector {
	constructor(private readonly options: {timers: TimerService; controlTimeoutMs: number}) {}

	async connect(address: string, identity: ConnectionIdentity, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>> {
		const channel = openChannel(address);
		return channel.isOk()
			? ConnectSession.open({...channel.value, timers: this.options.timers}, identity, timeoutMs)
			: err(channel.error);
	}

	async monitor(address: string, identity: ConnectionIdentity, timeoutMs: number, listener: StatusListener): Promise<Result<EndpointMonitor, ConnectError>> {
		const channel = openChannel(address);
		if (channel.isErr()) {
			return err(channel.error);
		}

		const monitor = new ConnectMonitor(channel.value, this.options.timers, listener);
		const started = await monitor.start(identity, timeoutMs);
		return started.map(() => monitor);
	}

	async fence(database: string, {address}: GroupMember, term: number): Promise<Result<FenceReply, ControlError>> {
		return this.#sendControlCommand(address, async client => {
			const {accepted, fencedTerm, last} = await client.fence({database, term: BigInt(term)}, {timeoutMs: this.options.controlTimeoutMs});
			return {accepted, fencedTerm: Number(fencedTerm), last: toLogPosition(last)};
		});
	}

	async promote(database: string, {address}: GroupMember, term: number): Promise<Result<ControlReply, ControlError>> {
		return this.#sendControlCommand(address, async client => {
			const {accepted, fencedTerm} = await client.promote({database, term: BigInt(term)}, {timeoutMs: this.options.controlTimeoutMs});
			return {accepted, fencedTerm: Number(fencedTerm)};
		});
	}

	async follow(database: string, {address}: GroupMember, term: number, primary: GroupMember): Promise<Result<ControlReply, ControlError>> {
		return this.#sendControlCommand(address, async client => {
			const {accepted, fencedTerm} = await client.follow({
				database, term: BigInt(term), primaryMemberId: primary.memberId, primaryAddress: primary.replicationAddress,
			}, {timeoutMs: this.options.controlTimeoutMs});
			return {accepted, fencedTerm: Number(fencedTerm)};
		});
	}

	async #sendControlCommand<T>(address: string, call: (client: Channel['client']) => Promise<T>): Promise<Result<T, ControlError>> {
		const channel = openChannel(address);
		if (channel.isErr()) {
			return err({kind: 'unreachable', message: channel.error.message, cause: channel.error});
		}

		const {client, sessionManager} = channel.value;
		try {
			return ok(await call(client));
		} catch (error) {
			return err({kind: 'unreachable', message: `${address} did not answer within ${this.options.controlTimeoutMs} ms; check the instance.`, cause: error});
		} finally {
			sessionManager.abort();
		}
	}
}

/** Status stream of one instance. A single task reads the statuses until the stream ends. */
class ConnectMonitor implements EndpointMonitor {
	readonly closed: Promise<void>;
	readonly #requests = new AsyncQueue<MonitorRequest>();
	readonly #requestedAtMs = new Map<bigint, number>();
	#nextPingId = 1n;
	#resolveClosed!: () => void;
	#onFirstStatus: (() => void) | undefined;

	constructor(private readonly channel: Channel, private readonly timers: TimerService, private readonly listener: StatusListener) {
		this.closed = new Promise(resolve => {
			this.#resolveClosed = resolve;
		});
	}

	async start(identity: ConnectionIdentity, timeoutMs: number): Promise<Result<void, ConnectError>> {
		const firstStatus = new Promise<'answered'>(resolve => {
			this.#onFirstStatus = () => {
				resolve('answered');
			};
		});
		const expired = new Promise<'expired'>(resolve => {
			const deadline = this.timers.after(timeoutMs, () => {
				resolve('expired');
			});
			this.#onFirstStatus = callInOrder(this.#onFirstStatus, () => {
				deadline.cancel();
			});
		});
		this.#sendRequest(false, identity);
		void this.#readStatuses();
		const outcome = await Promise.race([firstStatus, expired, this.closed]);
		if (outcome === 'answered') {
			return ok();
		}

		this.close();
		return err(buildUnreachableError('The instance did not answer the monitor in time; check the instance.'));
	}

	ping(pushPositions: boolean): void {
		this.#sendRequest(pushPositions);
	}

	close(): void {
		this.#requests.close();
		this.channel.sessionManager.abort();
		this.#resolveClosed();
	}

	#sendRequest(pushPositions: boolean, identity?: ConnectionIdentity): void {
		const pingId = this.#nextPingId;
		this.#nextPingId += 1n;
		this.#requestedAtMs.set(pingId, this.timers.nowMs());
		this.#requests.push(create(MonitorRequestSchema, {
			pingId,
			pushPositions,
			hello: identity && create(HelloSchema, {...identity, generation: BigInt(identity.generation)}),
		}));
	}

	async #readStatuses(): Promise<void> {
		try {
			for await (const response of this.channel.client.monitor(this.#requests)) {
				this.#onFirstStatus?.();
				this.#onFirstStatus = undefined;
				const requestedAtMs = this.#requestedAtMs.get(response.pingId);
				this.#requestedAtMs.delete(response.pingId);
				this.listener(toMemberStatus(response), requestedAtMs);
			}
		} catch {
			// A broken stream is handled like one that ended normally.
		}

		this.close();
	}
}

const callInOrder = (first: (() => void) | undefined, second: () => void) => () => {
	first?.();
	second();
};

/** A host and a port, without the characters that make other parts of a URL. */
const addressPattern = /^[^\s/?#@\\]+:\d{1,5}$/;

function openChannel(address: string): Result<Channel, ConnectError> {
	const baseUrl = `http://${address}`;
	if (!addressPattern.test(address) || !URL.canParse(baseUrl)) {
		return err(buildUnreachableError(`${JSON.stringify(address)} is not a host and a port; correct the address in the group record.`));
	}

	const sessionManager = new GuardedSessionManager(baseUrl);
	const transport = createConnectTransport({
		baseUrl, httpVersion: '2', sessionManager, acceptCompression: [],
	});
	return ok({client: createClient(EndpointService, transport), sessionManager});
}
