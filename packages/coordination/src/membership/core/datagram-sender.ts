import {type Member} from '../definitions.js';
import {countTraffic} from '../domain/counters.js';
import {retransmissions} from '../domain/settings.js';
import {
	appendUpdates, type DatagramHeader, type DatagramMessage, encodeDatagram, encodedSizeBytes, encodeUpdate,
} from './datagram-codec.js';
import {type GossipContext} from './gossip-context.js';

export type SendOptions = {
	/** Host that is expected at the address. */
	toHostId?: string;
	/** Only update to send, instead of those in the queue. */
	only?: Member;
};

/** Builds datagrams, fills them up with queued updates and counts them. */
export class DatagramSender {
	constructor(private readonly context: GossipContext) {}

	send(address: string, message: DatagramMessage, options: SendOptions = {}): void {
		const {settings, queue, table, transport, counters} = this.context;
		if (this.context.isStopped()) {
			return;
		}

		const base = encodeDatagram(this.header(), message);
		const first = this.#firstUpdates(options).map(member => encodeUpdate(member));
		const usedBytes = base.length + first.reduce((sum, encoded) => sum + encodedSizeBytes(encoded), 0);
		// The parts of a table would use up all transmissions of an update on one receiver.
		const queued = options.only !== undefined || message.case === 'exchange' ? [] : queue.take(settings.maxDatagramBytes - usedBytes, retransmissions(table.size));
		const payload = appendUpdates(base, [...first, ...queued]);
		countTraffic(counters.sent[message.case], payload.length);
		transport.send(address, payload);
	}

	header(): DatagramHeader {
		const {hostId, startedUnixMs, documentVersion} = this.context.self();
		return {
			fromHostId: hostId, fromStartedUnixMs: startedUnixMs, documentVersion, documentConfirmedAgeMs: this.context.documentConfirmedAgeMs(),
		};
	}

	/** A member that is believed suspect or dead is told so, and can refute at once. */
	#firstUpdates({toHostId, only}: SendOptions): Member[] {
		if (only) {
			return [only];
		}

		const receiver = toHostId === undefined ? undefined : this.context.table.get(toHostId);
		return receiver && (receiver.state === 'suspect' || receiver.state === 'dead') ? [receiver] : [];
	}
}

