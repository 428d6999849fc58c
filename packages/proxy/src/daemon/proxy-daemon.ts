import {once} from 'node:events';
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {createAdminServer} from '../admin/index.js';
import {CallerServiceHandler} from '../caller/index.js';
import {UdpDatagramTransport} from '../gossip/index.js';
import {PeerServiceHandler} from '../peer/index.js';
import {type ProxySettings} from '../settings/index.js';
import {ConnectServer} from './connect-server.js';
import {InFlight} from './in-flight.js';
import {createProxyParts, type ProxyParts} from './proxy-parts.js';

/** Where the proxy listens, each as `ip:port`. */
export type ProxyAddresses = {
	callerAddress: string;
	peerAddress: string;
	gossipAddress: string;
	adminAddress: string;
};

/** Time for gossip to find the fleet before the databases of the settings are looked up. */
const settleMs = 1000;

/** How often the age of the document's confirmation is brought up to date. */
const confirmationIntervalMs = 500;

/** Longest time for answers that were given to be sent at shutdown; a caller that does not read holds up no more. */
const sendMs = 1000;

/** The proxy process: starts the parts and stops them without cutting requests. */
export class ProxyDaemon {
	readonly #timers = new SystemTimerService();
	readonly #inFlight = new InFlight();
	readonly #callerServer = new ConnectServer();
	readonly #peerServer = new ConnectServer();
	#admin!: Server;
	#transport!: UdpDatagramTransport;
	#parts!: ProxyParts;
	#peerHandler!: PeerServiceHandler;
	#ready = false;
	#draining = false;

	constructor(private readonly settings: ProxySettings, private readonly logger: Logger) {}

	/** Starts listening and joins the fleet. */
	async start(): Promise<ProxyAddresses> {
		const {settings, logger} = this;
		const {host} = settings;
		this.#transport = await UdpDatagramTransport.create({address: `${host}:${settings.gossipPort}`});
		const peerAddress = await this.#peerServer.listen(host, settings.peerPort);
		this.#parts = createProxyParts({
			settings, timers: this.#timers, transport: this.#transport, peerAddress, logger,
		});
		this.#servePeers();
		this.#serveCallers();
		const callerAddress = await this.#callerServer.listen(host, settings.callerPort);
		const adminAddress = await this.#startAdmin();
		this.#parts.membership.join(settings.seeds);
		this.#parts.keeper.start();
		void this.#parts.hostList.run();
		void this.#parts.dissemination.start();
		this.#followConfirmation();
		void this.#prepareDatabases();
		return {
			callerAddress, peerAddress, gossipAddress: this.#transport.address, adminAddress,
		};
	}

	/**
	 * Shuts down gracefully: not ready, leaving in gossip, a notice period in which requests still run,
	 * then GOAWAY, and the end when nothing is in flight or the limit has passed.
	 */
	async stop(): Promise<void> {
		const {settings, logger} = this;
		logger.info({event: 'shutdown-started', inFlight: this.#inFlight.count});
		this.#ready = false;
		this.#parts.membership.announceLeaving();
		await this.#timers.sleep(settings.shutdownNoticeMs);
		this.#callerServer.stopAccepting();
		const drainMs = this.#parts.inForce.current?.document.operations.drainMs ?? settings.drainMs;
		await Promise.race([this.#inFlight.whenIdle(), this.#timers.sleep(drainMs)]);
		this.#draining = true;
		await this.#sendAnswers();
		logger.info({event: 'shutdown-finished', inFlight: this.#inFlight.count});
		await this.#close();
	}

	/** What is no longer in flight has its answer, but the answer may still be on its way to the socket. */
	async #sendAnswers(): Promise<void> {
		this.#peerHandler.drain();
		this.#peerServer.stopAccepting();
		await Promise.race([Promise.all([this.#callerServer.whenClosed(), this.#peerServer.whenClosed()]), this.#timers.sleep(sendMs)]);
	}

	async #close(): Promise<void> {
		const {owners, keeper, hostList, membership, peers, dissemination} = this.#parts;
		keeper.stop();
		hostList.stop();
		dissemination.stop();
		owners.close();
		membership.stop();
		peers.close();
		this.#peerServer.destroy();
		this.#callerServer.destroy();
		this.#admin.close();
		await this.#transport.close();
		this.#timers.close();
	}

	#servePeers(): void {
		const {directory, holderCheck, owners, membership, connector, inForce} = this.#parts;
		this.#peerHandler = new PeerServiceHandler({
			directory,
			holderCheck,
			owners,
			membership,
			connector,
			timers: this.#timers,
			document: inForce,
			track: this.#inFlight.track,
		});
		this.#peerServer.serve(router => {
			this.#peerHandler.register(router);
		});
	}

	#serveCallers(): void {
		const {router, tokens, metrics} = this.#parts;
		const handler = new CallerServiceHandler({
			router,
			tokens,
			timers: this.#timers,
			observe(request, response, durationMs) {
				metrics.request(request, response, durationMs);
			},
			track: this.#inFlight.track,
			isDraining: () => this.#draining,
		});
		this.#callerServer.serve(connectRouter => {
			handler.register(connectRouter);
		});
	}

	async #startAdmin(): Promise<string> {
		const {host, adminPort} = this.settings;
		this.#admin = createAdminServer({
			registry: this.#parts.metrics.registry,
			isReady: () => this.#isReady(),
			describeStatus: () => this.#describeStatus(),
		});
		this.#admin.listen(adminPort, host);
		await once(this.#admin, 'listening');
		return `${host}:${(this.#admin.address() as AddressInfo).port}`;
	}

	/** Ready once prepared, while the document is in force and fresh enough for what it demands itself. */
	#isReady(): boolean {
		return this.#ready && !this.#parts.inForce.status().makesUnready;
	}

	#followConfirmation(): void {
		const {inForce, dissemination} = this.#parts;
		this.#timers.every(confirmationIntervalMs, () => {
			const agoMs = dissemination.confirmedAgoMs();
			if (agoMs !== undefined) {
				inForce.confirm(inForce.version, this.#timers.nowMs() - agoMs);
			}
		});
	}

	async #prepareDatabases(): Promise<void> {
		await this.#timers.sleep(settleMs * (1 + Math.random()));
		await Promise.all(this.settings.databases.map(async database => {
			const found = await this.#parts.directory.findActing(database);
			if (found.isErr()) {
				this.logger.warn({event: 'database-not-prepared', database, message: found.error.message});
			}
		}));
		this.#ready = true;
		this.logger.info({event: 'ready', members: this.#parts.membership.members().length});
	}

	#describeStatus() {
		const {membership, owners, inForce, dissemination} = this.#parts;
		return {
			self: membership.self(),
			ready: this.#isReady(),
			document: {...inForce.status(), watchesPlatform: dissemination.isWatcher()},
			inFlight: this.#inFlight.count,
			members: membership.members(),
			databases: owners.all().map(owner => owner.buildStatus()),
		};
	}
}
