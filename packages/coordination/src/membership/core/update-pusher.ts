import {create} from '@bufbuild/protobuf';
import {GossipPushSchema} from '@dogwoodthread/protocol';
import {type Member} from '../definitions.js';
import {sample} from '../../random/index.js';
import {type DatagramSender} from './datagram-sender.js';
import {type GossipContext} from './gossip-context.js';

/**
 * Sends datagrams with updates while some wait, so that they spread faster than probes go out. A budget in
 * bytes keeps the cost bounded when many members fail at once.
 */
export class UpdatePusher {
	#allowanceBytes = 0;
	#refilledMs: number;

	constructor(private readonly context: GossipContext, private readonly sender: DatagramSender) {
		this.#refilledMs = context.timers.nowMs();
	}

	/** Called at each push interval. */
	pushWaiting(): void {
		this.#refill();
		if (this.context.queue.size > 0 && this.#allowanceBytes > 0) {
			this.pushNow();
		}
	}

	/** Sends to some members at once, whatever the budget. */
	pushNow(): void {
		const {table, random, settings, counters} = this.context;
		const beforeBytes = counters.sent.push.bytes;
		for (const hostId of sample(table.others(), settings.pushFanout, random)) {
			this.sender.send(table.get(hostId)!.gossipAddress, {case: 'push', value: create(GossipPushSchema)}, {toHostId: hostId});
		}

		this.#allowanceBytes -= counters.sent.push.bytes - beforeBytes;
	}

	/** Tells a member, and nobody else, what is claimed about it. */
	tellSubject(claim: Member): void {
		const member = this.context.table.get(claim.hostId);
		if (member) {
			this.sender.send(member.gossipAddress, {case: 'push', value: create(GossipPushSchema)}, {only: claim});
		}
	}

	#refill(): void {
		const {timers, settings} = this.context;
		const nowMs = timers.nowMs();
		const refillBytes = ((nowMs - this.#refilledMs) / 1000) * settings.pushBytesPerSecond;
		this.#allowanceBytes = Math.min(settings.pushBytesPerSecond, this.#allowanceBytes + refillBytes);
		this.#refilledMs = nowMs;
	}
}
