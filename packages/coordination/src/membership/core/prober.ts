import {create} from '@bufbuild/protobuf';
import {
	GossipAckSchema, type GossipPing, GossipPingRequestSchema, type GossipPingRequest, GossipPingSchema,
} from '@dogwoodthread/protocol';
import {type Member} from '../definitions.js';
import {sample} from '../../random/index.js';
import {type DatagramSender, type SendOptions} from './datagram-sender.js';
import {hasFiredLate, type GossipContext} from './gossip-context.js';

type RelayedPing = {address: string; hostId: string; sequence: bigint};

/** Sends pings, relays them for other members and matches acks to pings. */
export class Prober {
	#lastSequence = 0n;
	readonly #pendingSequences = new Set<bigint>();
	readonly #sentAtMsBySequence = new Map<bigint, number>();
	readonly #relayedPings = new Map<bigint, RelayedPing>();

	constructor(
		private readonly context: GossipContext,
		private readonly sender: DatagramSender,
		private readonly onNoAnswer: (member: Member) => void,
	) {}

	/** Pings the member directly, then through other members; calls `onNoAnswer` if no ack arrives. */
	probe(member: Member): void {
		const {timers, settings} = this.context;
		const sequence = this.ping(member.gossipAddress, {toHostId: member.hostId});
		this.#pendingSequences.add(sequence);
		timers.after(settings.probeTimeoutMs, () => {
			if (this.#pendingSequences.has(sequence)) {
				this.#requestIndirectProbes(member, sequence);
			}
		});
		// An indirect probe takes two hops each way.
		const totalTimeoutMs = settings.probeTimeoutMs * 3;
		const dueAtMs = timers.nowMs() + totalTimeoutMs;
		timers.after(totalTimeoutMs, () => {
			if (this.#pendingSequences.delete(sequence) && !this.context.isStopped() && !hasFiredLate(this.context, dueAtMs)) {
				this.onNoAnswer(member);
			}
		});
	}

	/** Sends a single ping and returns its sequence number. */
	ping(address: string, options: SendOptions): bigint {
		this.#lastSequence += 1n;
		const sequence = this.#lastSequence;
		this.#sentAtMsBySequence.set(sequence, this.context.timers.nowMs());
		this.#deleteAfterProbeTimeout(this.#sentAtMsBySequence, sequence);
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
		// The address of the probed host may have been reassigned to this one.
		if (targetHostId === '' || targetHostId === this.context.self().hostId) {
			this.#sendAck({address: fromAddress, hostId: fromHostId, sequence});
		}
	}

	/** Time since the ping with this sequence number was sent; undefined if the number is unknown or expired. */
	elapsedSincePingMs(sequence: bigint): number | undefined {
		const sentAtMs = this.#sentAtMsBySequence.get(sequence);
		return sentAtMs === undefined ? undefined : this.context.timers.nowMs() - sentAtMs;
	}

	receiveAck(sequence: bigint): void {
		this.#pendingSequences.delete(sequence);
		const relayedPing = this.#relayedPings.get(sequence);
		if (relayedPing) {
			this.#relayedPings.delete(sequence);
			this.#sendAck(relayedPing);
		}
	}

	receivePingRequest(fromAddress: string, fromHostId: string, request: GossipPingRequest): void {
		const sequence = this.ping(request.targetAddress, {toHostId: request.targetHostId});
		this.#relayedPings.set(sequence, {address: fromAddress, hostId: fromHostId, sequence: request.sequence});
		this.#deleteAfterProbeTimeout(this.#relayedPings, sequence);
	}

	#deleteAfterProbeTimeout(map: Map<bigint, unknown>, sequence: bigint): void {
		this.context.timers.after(this.context.settings.probeTimeoutMs * 3, () => {
			map.delete(sequence);
		});
	}

	#sendAck({address, hostId, sequence}: RelayedPing): void {
		this.sender.send(address, {case: 'ack', value: create(GossipAckSchema, {sequence})}, {toHostId: hostId});
	}

	#requestIndirectProbes(target: Member, sequence: bigint): void {
		const {table, settings, random} = this.context;
		const candidates = table.livePeerIds().filter(hostId => hostId !== target.hostId && table.get(hostId)!.state !== 'suspect');
		const value = create(GossipPingRequestSchema, {sequence, targetHostId: target.hostId, targetAddress: target.gossipAddress});
		for (const hostId of sample(candidates, settings.indirectProbeCount, random)) {
			this.sender.send(table.get(hostId)!.gossipAddress, {case: 'pingRequest', value}, {toHostId: hostId});
		}
	}
}
