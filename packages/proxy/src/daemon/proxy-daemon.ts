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
import {InFlightTracker} from './in-flight-tracker.js';
import {createProxyComponents, type ProxyComponents} from './proxy-components.js';

/** Addresses on which the proxy listens, each as `ip:port`. */
export type ProxyAddresses = {
	callerAddress: string;
	peerAddress: string;
	gossipAddress: string;
	adminAddress: string;
};

/** Minimum time for gossip to discover the fleet before the owners of the configured databases are looked up. */
const gossipSettleMs = 1000;

/** Interval at which the time of the last confirmation of the governing document is updated. */
const confirmationUpdateIntervalMs = 500;

/** Maximum time to send pending responses at shutdown, so that a caller that does not read cannot delay it further. */
const responseFlushTimeoutMs = 1000;

/** The proxy process: starts the components and stops them without interrupting requests. */
export class ProxyDaemon {
	readonly #timers = new SystemTimerService();
	readonly #inFlight = new InFlightTracker();
	readonly #callerServer = new ConnectServer();
	readonly #peerServer = new ConnectServer();
	#admin!: Server;
	#transport!: UdpDatagramTransport;
	#components!: ProxyComponents;
	#peerHandler!: PeerServiceHandler;
	/** Set when the configured databases are prepared, cleared when the shutdown begins. */
	#isStarted = false;
	#isDraining = false;

	constructor(private readonly settings: ProxySettings, private readonly logger: Logger) {}

	/** Starts listening and joins the fleet. */
	async start(): Promise<ProxyAddresses> {
		const {settings, logger} = this;
		const {host} = settings;
		this.#transport = await UdpDatagramTransport.create({address: `${host}:${settings.gossipPort}`});
		const peerAddress = await this.#peerServer.listen(host, settings.peerPort);
		this.#components = createProxyComponents({
			settings, timers: this.#timers, transport: this.#transport, peerAddress, logger,
		});
		this.#servePeers();
		this.#serveCallers();
		const callerAddress = await this.#callerServer.listen(host, settings.callerPort);
		const adminAddress = await this.#startAdmin();
		this.#components.membership.join(settings.seeds);
		this.#components.ownerReplacer.start();
		void this.#components.hostListPoller.pollUntilStopped();
		void this.#components.dissemination.start();
		this.#trackDocumentConfirmation();
		void this.#prepareDatabases();
		return {
			callerAddress, peerAddress, gossipAddress: this.#transport.address, adminAddress,
		};
	}

	/**
	 * Shuts down gracefully: reports not ready and announces over gossip that it is leaving, continues to accept requests
	 * for a notice period, then sends GOAWAY, and closes when nothing is in flight or the drain time-out has passed.
	 */
	async stop(): Promise<void> {
		const {settings, logger} = this;
		logger.info({event: 'shutdown-started', inFlight: this.#inFlight.count});
		this.#isStarted = false;
		this.#components.membership.announceLeaving();
		await this.#timers.sleep(settings.shutdownNoticeMs);
		this.#callerServer.stopAccepting();
		const drainMs = this.#components.documentInForce.current?.document.operations.drainMs ?? settings.drainMs;
		await Promise.race([this.#inFlight.whenIdle(), this.#timers.sleep(drainMs)]);
		this.#isDraining = true;
		try {
			await this.#flushResponses();
			logger.info({event: 'shutdown-finished', inFlight: this.#inFlight.count});
		} finally {
			// Without it the timers and listeners that are left would keep the process alive.
			await this.#close();
		}
	}

	/** Waits until pending responses are sent: a request that is no longer in flight may have its response still buffered. */
	async #flushResponses(): Promise<void> {
		this.#peerHandler.drain();
		this.#peerServer.stopAccepting();
		await Promise.race([Promise.all([this.#callerServer.whenClosed(), this.#peerServer.whenClosed()]), this.#timers.sleep(responseFlushTimeoutMs)]);
	}

	async #close(): Promise<void> {
		const {owners, ownerReplacer, hostListPoller, membership, peers, dissemination} = this.#components;
		ownerReplacer.stop();
		hostListPoller.stop();
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
		const {directory, ownerLivenessProbe, owners, membership, connector, documentInForce} = this.#components;
		this.#peerHandler = new PeerServiceHandler({
			directory,
			holderCheck: ownerLivenessProbe,
			owners,
			membership,
			connector,
			timers: this.#timers,
			document: documentInForce,
			track: this.#inFlight.track,
		});
		this.#peerServer.serve(router => {
			this.#peerHandler.register(router);
		});
	}

	#serveCallers(): void {
		const {router, tokenCodec, metrics} = this.#components;
		const handler = new CallerServiceHandler({
			router,
			tokenCodec,
			timers: this.#timers,
			observeRequest(request, response, durationMs) {
				metrics.recordRequest(request, response, durationMs);
			},
			track: this.#inFlight.track,
			isDraining: () => this.#isDraining,
		});
		this.#callerServer.serve(connectRouter => {
			handler.register(connectRouter);
		});
	}

	async #startAdmin(): Promise<string> {
		const {host, adminPort} = this.settings;
		this.#admin = createAdminServer({
			registry: this.#components.metrics.registry,
			isReady: () => this.#isReady(),
			buildStatus: () => this.#buildStatus(),
		});
		this.#admin.listen(adminPort, host);
		await once(this.#admin, 'listening');
		return `${host}:${(this.#admin.address() as AddressInfo).port}`;
	}

	/** Ready once the databases are prepared, while a governing document is in force and as recent as it itself requires. */
	#isReady(): boolean {
		return this.#isStarted && !this.#components.documentInForce.status().shouldReportUnready;
	}

	#trackDocumentConfirmation(): void {
		const {documentInForce, dissemination} = this.#components;
		this.#timers.every(confirmationUpdateIntervalMs, () => {
			const agoMs = dissemination.confirmedAgeMs();
			if (agoMs !== undefined) {
				documentInForce.confirm(documentInForce.version, this.#timers.nowMs() - agoMs);
			}
		});
	}

	async #prepareDatabases(): Promise<void> {
		await this.#timers.sleep(gossipSettleMs * (1 + Math.random()));
		await Promise.all(this.settings.databases.map(async database => {
			const owner = await this.#components.directory.findActingOwner(database);
			if (owner.isErr()) {
				this.logger.warn({event: 'database-not-prepared', database, message: owner.error.message});
			}
		}));
		this.#isStarted = true;
		this.logger.info({event: 'ready', members: this.#components.membership.members().length});
	}

	#buildStatus() {
		const {membership, owners, documentInForce, dissemination} = this.#components;
		return {
			self: membership.self(),
			ready: this.#isReady(),
			document: {...documentInForce.status(), watchesPlatform: dissemination.isWatcher()},
			inFlight: this.#inFlight.count,
			members: membership.members(),
			databases: owners.all().map(owner => owner.buildStatus()),
		};
	}
}
