import {randomUUID} from 'node:crypto';
import {
	type Admission, type AdmissionLimits, AssignOwners, DocumentDissemination, DocumentInForce, FairAdmission, FifoAdmission, GossipMembership, InForceReceiver, PromotePrimary, RetryBudget,
	SessionTokenCodec, type SystemTimerService,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {ProxyMetrics} from '../admin/index.js';
import {RequestRouter} from '../caller/index.js';
import {DatabaseDirectory, HolderCheck, OwnershipKeeper} from '../directory/index.js';
import {DocumentPolicy, PeerDocumentSource} from '../document/index.js';
import {ConnectEndpointConnector} from '../endpoint/index.js';
import {type UdpDatagramTransport} from '../gossip/index.js';
import {OwnerRegistry} from '../owner/index.js';
import {PeerClients} from '../peer/index.js';
import {HttpPlatform} from '../platform/index.js';
import {type ProxySettings} from '../settings/index.js';
import {HostList} from './host-list.js';
import {PeerWitness} from './peer-witness.js';

const controlTimeoutMs = 500;
const queryTimeoutMs = 300;
const peerConnectTimeoutMs = 300;

/** Retries earned by each success, and those that a caller may save up, until a document is in force. */
const retryBudgetOptions = {ratio: 0.1, burst: 10};

export type ProxyPartsOptions = {
	settings: ProxySettings;
	timers: SystemTimerService;
	transport: UdpDatagramTransport;
	peerAddress: string;
	logger: Logger;
};

export type ProxyParts = ReturnType<typeof createProxyParts>;

/** Creates the parts of a proxy and connects them; nothing runs yet. */
export function createProxyParts({settings, timers, transport, peerAddress, logger}: ProxyPartsOptions) {
	const {random} = Math;
	const labelled = (label: string) => logger.child({label});
	const metrics = new ProxyMetrics();
	const tokens = new SessionTokenCodec(settings.tokenKeys ?? [settings.tokenKey!]);
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
		logger: labelled('membership'),
	});
	const assignOwners = new AssignOwners({platform, membership, newChangeId: randomUUID});
	const directoryOptions = {
		platform, membership, peers, assignOwners, timers, logger: labelled('directory'),
	};
	const directory = new DatabaseDirectory(directoryOptions);
	const holderCheck = new HolderCheck({
		directory, membership, peers, timers,
	});
	const hostList = new HostList({
		platform, membership, timers, random, logger: labelled('host-list'),
	});
	const inForce = new DocumentInForce({timers});
	const dissemination = new DocumentDissemination({
		platform,
		membership,
		peers: new PeerDocumentSource(peers, inForce),
		inForce: new InForceReceiver(inForce, ({kind, message}) => {
			labelled('document').error({event: 'document-refused', kind, message});
		}),
		timers,
		random,
		logger: labelled('document'),
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
		tokenCodec: tokens,
		promotePrimary: new PromotePrimary({
			platform, control: connector, timers, hostId: settings.hostId, newChangeId: randomUUID,
		}),
		reachabilityObserver: new PeerWitness({membership, peers, random}),
		createAdmission,
		createPolicy: database => new DocumentPolicy(database, inForce, settings),
		isUnresponsive: hostId => holderCheck.isUnresponsive(hostId),
		isListedAsLeaving: memberId => hostList.isLeaving(memberId),
		random,
		events: metrics,
		logger: labelled('owner'),
	});
	const keeper = new OwnershipKeeper({...directoryOptions, actingDatabases: () => owners.actingDatabases()}, directory);
	const retryBudget = new RetryBudget(retryBudgetOptions);
	const router = new RequestRouter({
		directory, owners, links: peers, membership, retryBudget, timers, random,
	});
	directory.onEntry((database, entry) => {
		owners.applyEntry(database, entry);
	});
	inForce.onChange(next => {
		labelled('document').info({event: 'document-in-force', version: next.version});
		owners.applyPolicies();
		retryBudget.configure(next.document.applications.retryBudget);
	});
	metrics.observeOwners(owners);
	return {
		metrics, tokens, platform, peers, connector, membership, directory, holderCheck, hostList, owners, keeper, router,
		inForce, dissemination,
	};
}
