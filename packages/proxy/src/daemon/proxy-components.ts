import {randomUUID} from 'node:crypto';
import {
	type Admission, type AdmissionLimits, AssignOwners, DocumentDissemination, DocumentInForce, FairAdmission, FifoAdmission, GossipMembership, InForceReceiver, PromotePrimary, RetryBudget,
	SessionTokenCodec, type SystemTimerService,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {ProxyMetrics} from '../admin/index.js';
import {RequestRouter} from '../caller/index.js';
import {DatabaseDirectory, OwnerLivenessProbe, OwnerReplacer} from '../directory/index.js';
import {DocumentPolicy, PeerDocumentSource} from '../document/index.js';
import {ConnectEndpointConnector} from '../endpoint/index.js';
import {type UdpDatagramTransport} from '../gossip/index.js';
import {OwnerRegistry} from '../owner/index.js';
import {PeerClients} from '../peer/index.js';
import {HttpPlatform} from '../platform/index.js';
import {type ProxySettings} from '../settings/index.js';
import {HostListPoller} from './host-list-poller.js';
import {PeerReachabilityObserver} from './peer-reachability-observer.js';

const controlTimeoutMs = 500;
const queryTimeoutMs = 300;
const peerConnectTimeoutMs = 300;

/** Retries earned per success, and the most that a caller can accumulate, until a governing document is in force. */
const initialRetryBudget = {ratio: 0.1, burst: 10};

export type ProxyComponentsOptions = {
	settings: ProxySettings;
	timers: SystemTimerService;
	transport: UdpDatagramTransport;
	peerAddress: string;
	logger: Logger;
};

export type ProxyComponents = ReturnType<typeof createProxyComponents>;

/** Creates the components of a proxy and connects them; starts none of them. */
export function createProxyComponents({settings, timers, transport, peerAddress, logger}: ProxyComponentsOptions) {
	const {random} = Math;
	const createLogger = (label: string) => logger.child({label});
	const metrics = new ProxyMetrics();
	const tokenCodec = new SessionTokenCodec(settings.tokenKeys ?? [settings.tokenKey!]);
	const platform = new HttpPlatform({baseUrl: settings.platformUrl, timeoutMs: settings.platformTimeoutMs});
	const peers = new PeerClients({timers, connectTimeoutMs: peerConnectTimeoutMs, queryTimeoutMs});
	const connector = new ConnectEndpointConnector({timers, controlTimeoutMs});
	const membership = new GossipMembership({
		self: {
			hostId: settings.hostId,
			startedUnixMs: timers.wallClockMs(),
			gossipAddress: transport.address,
			peerAddress,
			failureDomain: settings.failureDomain,
			region: settings.region,
		},
		transport,
		timers,
		random,
		logger: createLogger('membership'),
	});
	const assignOwners = new AssignOwners({platform, membership, newChangeId: randomUUID});
	const directoryOptions = {
		platform, membership, peers, assignOwners, timers, logger: createLogger('directory'),
	};
	const directory = new DatabaseDirectory(directoryOptions);
	const ownerLivenessProbe = new OwnerLivenessProbe({
		directory, membership, peers, timers,
	});
	const hostListPoller = new HostListPoller({
		platform, membership, timers, random, logger: createLogger('host-list'),
	});
	const documentInForce = new DocumentInForce({timers});
	const dissemination = new DocumentDissemination({
		platform,
		membership,
		peers: new PeerDocumentSource(peers, documentInForce),
		documentReceiver: new InForceReceiver(documentInForce, ({kind, message}) => {
			createLogger('document').error({event: 'document-refused', kind, message});
		}),
		timers,
		random,
		logger: createLogger('document'),
	});
	const createAdmission = (limits: AdmissionLimits): Admission => settings.policy === 'fifo'
		? new FifoAdmission({timers, limits, random})
		: new FairAdmission({timers, limits, random});
	const owners = new OwnerRegistry({
		hostId: settings.hostId,
		failureDomain: settings.failureDomain,
		membership,
		connector,
		timers,
		tokenCodec,
		promotePrimary: new PromotePrimary({
			platform, control: connector, timers, hostId: settings.hostId, newChangeId: randomUUID,
		}),
		reachabilityObserver: new PeerReachabilityObserver({membership, peers, random}),
		createAdmission,
		createPolicy: database => new DocumentPolicy(database, documentInForce, settings),
		isUnresponsive: hostId => ownerLivenessProbe.isUnresponsive(hostId),
		isListedAsLeaving: memberId => hostListPoller.isLeaving(memberId),
		random,
		events: metrics,
		logger: createLogger('owner'),
	});
	const ownerReplacer = new OwnerReplacer({...directoryOptions, actingDatabases: () => owners.actingDatabases()}, directory);
	const retryBudget = new RetryBudget(initialRetryBudget);
	const router = new RequestRouter({
		directory, owners, forwarder: peers, membership, retryBudget, timers, random,
	});
	directory.onEntryChange((database, entry) => {
		metrics.registerDatabase(database);
		owners.applyEntry(database, entry);
	});
	documentInForce.onChange(next => {
		createLogger('document').info({event: 'document-in-force', version: next.version});
		owners.applyPolicies();
		retryBudget.configure(next.document.applications.retryBudget);
	});
	metrics.registerOwnerGauges(owners);
	return {
		metrics, tokenCodec, platform, peers, connector, membership, directory, ownerLivenessProbe, hostListPoller, owners, ownerReplacer, router,
		documentInForce, dissemination,
	};
}
