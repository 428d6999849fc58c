/** Which proxies are alive: ports and the gossip-based failure detector. */
export type {
	DatagramTransport, Member, MemberListener, MemberState, MembershipView,
} from './definitions.js';
