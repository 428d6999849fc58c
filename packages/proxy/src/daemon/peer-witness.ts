import {type GroupMember, type MembershipView} from '@dogwoodthread/coordination';
import {type ReachabilityObserver} from '../owner/index.js';
import {type PeerQueries} from '../peer/index.js';

const observeTimeoutMs = 500;

/** Asks a live proxy of another failure domain to try a fresh connection. */
export class PeerWitness implements ReachabilityObserver {
	constructor(private readonly options: {membership: MembershipView; peers: PeerQueries; random: () => number}) {}

	async observe(database: string, {memberId, address}: GroupMember): Promise<'reachable' | 'unreachable' | 'no-witness'> {
		const {membership, peers, random} = this.options;
		const self = membership.self();
		const candidates = membership.members().filter(({state, failureDomain}) => state === 'alive' && failureDomain !== self.failureDomain);
		const chosen = candidates[Math.floor(random() * candidates.length)];
		const reachable = chosen && await peers.observeEndpoint(chosen.peerAddress, {
			database, memberId, address, timeoutMs: observeTimeoutMs,
		});
		if (reachable === undefined) {
			return 'no-witness';
		}

		return reachable ? 'reachable' : 'unreachable';
	}
}
