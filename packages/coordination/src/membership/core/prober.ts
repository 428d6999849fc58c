import {create} from '@bufbuild/protobuf';
import {
	GossipAckSchema, type GossipPing, GossipPingRequestSchema, type GossipPingRequest, GossipPingSchema,
} from '@dogwoodthread/protocol';
import {type Member} from '../definitions.js';
import {sample} from '../../random/index.js';
import {type DatagramSender, type SendOptions} from './datagram-sender.js';
import {firedLate, type GossipContext} from './gossip-context.js';

type Relay = {address: string; hostId: string; sequence: bigint};

/** Sends probes, relays them for others and matches the answers. */
export class Prober {
	#lastSequence = 0n;
	readonly #pending = new Set<bigint>();
	readonly #sentMs = new Map<bigint, number>();
	readonly #relays = new Map<bigint, Relay>();

	constructor(
		private readonly context: GossipContext,
		private readonly sender: DatagramSender,
		private readonly onNoAnswer: (member: Member) => void,
	) {}

	/** Probes directly, then through other members; reports the member if no answer arrives. */
	probe(member: Member): void {
		const {timers, settings} = this.context;
		const sequence = this.ping(member.gossipAddress, {toHostId: member.hostId});
		this.#pending.add(sequence);
		timers.after(settings.probeTimeoutMs, () => {
			if (this.#pending.has(sequence)) {
				this.#requestPings(member, sequence);
			}
		});
		// An indirect probe passes two links each way.
		const deadlineMs = settings.probeTimeoutMs * 3;
		const dueMs = timers.nowMs() + deadlineMs;
		timers.after(deadlineMs, () => {
			if (this.#pending.delete(sequence) && !this.context.isStopped() && !firedLate(this.context, dueMs)) {
				this.onNoAnswer(member);
			}
		});
	}

	/** Sends a single ping; gives its sequence number. */
	ping(address: string, options: SendOptions): bigint {
		this.#lastSequence += 1n;
		const sequence = this.#lastSequence;
		this.#sentMs.set(sequence, this.context.timers.nowMs());
		this.#forgetLater(this.#sentMs, sequence);
		this.sender.send(address, {
			case: 'ping', value: create(GossipPingSchema, {sequence, targetHostId: options.toHostId ?? ''}),
		}, options);
		return sequence;
	}

	/** Sends a single ping to a known member. */
	pingMember(hostId: string): void {
		const member = this.context.table.get(hostId);
		if (member) {
			this.ping(member.gossipAddress, {toHostId: hostId});
		}
	}

	receivePing(fromAddress: string, fromHostId: string, {sequence, targetHostId}: GossipPing): void {
		// Another host may have taken over the address of the one that is probed.
		if (targetHostId === '' || targetHostId === this.context.self().hostId) {
			this.#acknowledge({address: fromAddress, hostId: fromHostId, sequence});
		}
	}

	/** Time since the ping with this sequence number was sent; undefined if it is unknown or long ago. */
	elapsedMs(sequence: bigint): number | undefined {
		const sentMs = this.#sentMs.get(sequence);
		return sentMs === undefined ? undefined : this.context.timers.nowMs() - sentMs;
	}

	receiveAck(sequence: bigint): void {
		this.#pending.delete(sequence);
		const relay = this.#relays.get(sequence);
		if (relay) {
			this.#relays.delete(sequence);
			this.#acknowledge(relay);
		}
	}

	receivePingRequest(fromAddress: string, fromHostId: string, request: GossipPingRequest): void {
		const sequence = this.ping(request.targetAddress, {toHostId: request.targetHostId});
		this.#relays.set(sequence, {address: fromAddress, hostId: fromHostId, sequence: request.sequence});
		this.#forgetLater(this.#relays, sequence);
	}

	#forgetLater(map: Map<bigint, unknown>, sequence: bigint): void {
		this.context.timers.after(this.context.settings.probeTimeoutMs * 3, () => {
			map.delete(sequence);
		});
	}

	#acknowledge({address, hostId, sequence}: Relay): void {
		this.sender.send(address, {case: 'ack', value: create(GossipAckSchema, {sequence})}, {toHostId: hostId});
	}

	#requestPings(target: Member, sequence: bigint): void {
		const {table, settings, random} = this.context;
		const candidates = table.others().filter(hostId => hostId !== target.hostId && table.get(hostId)!.state !== 'suspect');
		const value = create(GossipPingRequestSchema, {sequence, targetHostId: target.hostId, targetAddress: target.gossipAddress});
		for (const hostId of sample(candidates, settings.indirectProbes, random)) {
			this.sender.send(table.get(hostId)!.gossipAddress, {case: 'pingRequest', value}, {toHostId: hostId});
		}
	}
}
