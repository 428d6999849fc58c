import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {type GroupRecord} from '@dogwoodthread/coordination';
import {EndpointService} from '@dogwoodthread/protocol';
import {GuardedSessionManager} from '@dogwoodthread/proxy';
import {type EndpointHandle} from '../definitions.js';

/** Starting an empty instance takes milliseconds. */
const callTimeoutMs = 5000;

const withClient = async <T>(endpoint: EndpointHandle, call: (client: Client<typeof EndpointService>) => Promise<T>): Promise<T> => {
	const baseUrl = `http://${endpoint.endpointAddress}`;
	const sessionManager = new GuardedSessionManager(baseUrl);
	try {
		return await call(createClient(EndpointService, createConnectTransport({httpVersion: '2', baseUrl, sessionManager})));
	} finally {
		sessionManager.abort();
	}
};

/** Makes the first endpoint the primary of term 1 and the others its replicas. */
export const establishGroup = async (endpoints: EndpointHandle[]): Promise<GroupRecord> => {
	const [primary, ...replicas] = endpoints;
	if (!primary) {
		throw new Error('A group needs at least one endpoint.');
	}

	const {database} = primary;
	const options = {timeoutMs: callTimeoutMs};
	const promoted = await withClient(primary, async client => client.promote({database, term: 1n}, options));
	const followed = await Promise.all(replicas.map(async replica => withClient(replica, async client => client.follow({
		database, term: 1n, primaryMemberId: primary.memberId, primaryAddress: primary.replicationAddress,
	}, options))));
	if (!promoted.accepted || followed.some(({accepted}) => !accepted)) {
		throw new Error(`The endpoints of ${database} refused term 1; they must be new.`);
	}

	return {
		database,
		members: endpoints.map(({memberId, endpointAddress, replicationAddress, failureDomain}) => ({
			memberId, address: endpointAddress, replicationAddress, failureDomain,
		})),
		term: 1,
		primary: primary.memberId,
		phase: 'established',
		changeId: 'initial',
	};
};
