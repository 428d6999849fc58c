import {create} from '@bufbuild/protobuf';
import {GossipPushSchema} from '@dogwoodthread/protocol';
import {type Member} from '../definitions.js';
import {sample} from '../../random/index.js';
import {type DatagramSender} from './datagram-sender.js';
import {type GossipContext} from './gossip-context.js';

/**
 * Sends queued updates in datagrams of their own, so that they spread faster than by probes alone. A byte budget
 * limits the traffic when many members fail at once.
 */
export class UpdatePusher {
	#availableBytes = 0;
	#refilledAtMs: number;

	constructor(private readonly context: GossipContext, private readonly sender: DatagramSender) {
		this.#refilledAtMs = context.timers.nowMs();
	}

	/** Pushes queued updates if the budget allows; called once per push interval. */
	pushQueued(): void {
		this.#refill();
		if (this.context.queue.size > 0 && this.#availableBytes > 0) {
			this.pushNow();
		}
	}

	/** Pushes immediately, even when the budget is used up; the bytes still count against the budget. */
	pushNow(): void {
		const {table, random, settings, counters} = this.context;
		const previouslySentBytes = counters.sent.push.bytes;
		for (const hostId of sample(table.livePeerIds(), settings.pushFanout, random)) {
			this.sender.send(table.get(hostId)!.gossipAddress, {case: 'push', value: create(GossipPushSchema)}, {toHostId: hostId});
		}

		this.#availableBytes -= counters.sent.push.bytes - previouslySentBytes;
	}

	/** Sends a claim only to the member that it is about. */
	sendClaimToSubject(claim: Member): void {
		const member = this.context.table.get(claim.hostId);
		if (member) {
			this.sender.send(member.gossipAddress, {case: 'push', value: create(GossipPushSchema)}, {onlyUpdate: claim});
		}
	}

	#refill(): void {
		const {timers, settings} = this.context;
		const nowMs = timers.nowMs();
		const refillBytes = ((nowMs - this.#refilledAtMs) / 1000) * settings.pushBytesPerSecond;
		this.#availableBytes = Math.min(settings.pushBytesPerSecond, this.#availableBytes + refillBytes);
		this.#refilledAtMs = nowMs;
	}
}
