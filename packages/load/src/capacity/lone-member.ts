import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
	type DatagramTransport, GossipMembership, type ManualTimerService, type Member, type RandomSource,
} from '@dogwoodthread/coordination';
import {
	GossipAckSchema, type GossipDatagram, GossipDatagramSchema, GossipExchangeSchema, GossipMemberSchema, GossipPingSchema,
} from '@dogwoodthread/protocol';
import {domainCount, regionCount} from './gossip-fleet.js';

export type Listener = (fromAddress: string, payload: Uint8Array) => void;

const startedUnixMs = 1_700_000_000_000;
const membersPerDatagram = 8;

const describeMember = (index: number): Omit<Member, 'refutation' | 'state' | 'documentVersion'> => {
	const host = `${Math.floor(index / 250)}.${(index % 250) + 1}`;
	const domain = index % domainCount(Number.POSITIVE_INFINITY);
	return {
		hostId: `host-${String(index).padStart(4, '0')}`,
		startedUnixMs,
		gossipAddress: `10.0.${host}:7000`,
		peerAddress: `10.0.${host}:7001`,
		failureDomain: `failure-domain-${domain}`,
		region: `region-${domain % regionCount}`,
	};
};

/**
 * One real member among `size` that only answer and send pings, so that the cost of a large table is
 * measured without thousands of processes. The processor time includes that of the stand-ins.
 */
export class LoneMember {
	readonly membership: GossipMembership;
	/** Real members besides this one, by address. */
	readonly receivers = new Map<string, Listener>();
	readonly transport: DatagramTransport;
	#listener: Listener | undefined;
	#sequence = 0n;

	constructor(private readonly size: number, private readonly timers: ManualTimerService, private readonly random: RandomSource) {
		const self = describeMember(0);
		this.transport = {
			address: self.gossipAddress,
			send: (address, payload) => {
				const receiver = this.receivers.get(address);
				if (receiver) {
					timers.after(1, () => {
						receiver(self.gossipAddress, payload);
					});
				} else {
					this.#answer(address, fromBinary(GossipDatagramSchema, payload));
				}
			},
			onReceive: listener => {
				this.#listener = listener;
			},
			async close() {
				// Nothing is open.
			},
		};
		this.membership = new GossipMembership({
			self, transport: this.transport, timers, random,
		});
	}

	/** Teaches the member all others, as an exchange does. */
	fillTable(): void {
		for (let index = 1; index < this.size; index += membersPerDatagram) {
			const last = Math.min(this.size, index + membersPerDatagram);
			const members = Array.from({length: last - index}, (_, offset) => create(GossipMemberSchema, {
				...describeMember(index + offset), startedUnixMs: BigInt(startedUnixMs), state: 'alive',
			}));
			this.#receive(1, {case: 'exchange', value: create(GossipExchangeSchema, {members})});
		}
	}

	/** Hands the member a datagram of another real member. */
	deliver(fromAddress: string, payload: Uint8Array): void {
		this.timers.after(1, () => {
			this.#listener?.(fromAddress, payload);
		});
	}

	/** Joins, and is probed once a second by a random member. */
	start(): void {
		this.membership.join([]);

		this.timers.every(1000, () => {
			this.#sequence += 1n;
			this.#receive(this.#randomIndex(), {case: 'ping', value: create(GossipPingSchema, {sequence: this.#sequence})});
		});
	}

	#randomIndex(): number {
		return 1 + Math.floor(this.random() * (this.size - 1));
	}

	#answer(address: string, {message}: GossipDatagram): void {
		if (message.case === 'ping') {
			const {sequence} = message.value;
			const [third, fourth] = address.split(':')[0]!.split('.').slice(2).map(Number);
			this.timers.after(1, () => {
				this.#receive((third! * 250) + fourth! - 1, {case: 'ack', value: create(GossipAckSchema, {sequence})});
			});
		}
	}

	#receive(fromIndex: number, message: GossipDatagram['message']): void {
		const {hostId, gossipAddress} = describeMember(fromIndex);
		this.#listener?.(gossipAddress, toBinary(GossipDatagramSchema, create(GossipDatagramSchema, {
			fromHostId: hostId, fromStartedUnixMs: BigInt(startedUnixMs), message,
		})));
	}
}
