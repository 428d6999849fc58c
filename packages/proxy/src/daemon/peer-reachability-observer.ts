import {type GroupMember, type MembershipView} from '@dogwoodthread/coordination';
import {type ReachabilityObserver} from '../owner/index.js';
import {type PeerQueries} from '../peer/index.js';

const observeTimeoutMs = 500;

/** Asks a random live proxy of another failure domain to open a new connection to an instance. */
export class PeerReachabilityObserver implements ReachabilityObserver {
	constructor(private readonly options: {membership: MembershipView; peers: PeerQueries; random: () => number}) {}

	async observe(database: string, {memberId, address}: GroupMember): Promise<'reachable' | 'unreachable' | 'no-witness'> {
		const {membership, peers, random} = this.options;
		const self = membership.self();
		const candidates = membership.members().filter(({state, failureDomain}) => state === 'alive' && failureDomain !== self.failureDomain);
		const observer = candidates[Math.floor(random() * candidates.length)];
		const isReachable = observer && await peers.observeEndpoint(observer.peerAddress, {
			database, memberId, address, timeoutMs: observeTimeoutMs,
		});
		if (isReachable === undefined) {
			return 'no-witness';
		}

		return isReachable ? 'reachable' : 'unreachable';
	}
}
