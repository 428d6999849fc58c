/** Fleet membership: interfaces and the gossip-based failure detector. */
export type {
	DatagramTransport, Member, MemberListener, MemberState, MembershipView,
} from './definitions.js';
export type {DocumentVersionListener} from './core/datagram-receiver.js';
export type {GossipLogger} from './core/gossip-context.js';
export {
	GossipMembership, type DocumentConfirmation, type GossipMembershipOptions, type SelfDescription,
} from './core/gossip-membership.js';
export type {DatagramKind, GossipCounters, Traffic} from './domain/counters.js';
export {defaultGossipSettings, suspicionTimeoutMs, type GossipSettings} from './domain/settings.js';
export {MemoryDatagramNetwork, type MemoryDatagramNetworkOptions} from './infra/memory-datagram-network.js';
