import {type Member} from '../definitions.js';
import {countTraffic} from '../domain/counters.js';
import {transmissionLimit} from '../domain/settings.js';
import {
	appendUpdates, type DatagramHeader, type DatagramMessage, encodeDatagram, encodedSizeBytes, encodeUpdate,
} from './datagram-codec.js';
import {type GossipContext} from './gossip-context.js';

export type SendOptions = {
	/** Host that is expected at the address. */
	toHostId?: string;
	/** The only update to include; queued updates are left out. */
	onlyUpdate?: Member;
};

/** Builds datagrams, adds queued updates up to the size limit, and sends and counts them. */
export class DatagramSender {
	constructor(private readonly context: GossipContext) {}

	send(address: string, message: DatagramMessage, options: SendOptions = {}): void {
		const {settings, queue, table, transport, counters} = this.context;
		if (this.context.isStopped()) {
			return;
		}

		const base = encodeDatagram(this.createHeader(), message);
		const priorityUpdates = this.#priorityUpdates(options).map(member => encodeUpdate(member));
		const usedBytes = base.length + priorityUpdates.reduce((sum, encoded) => sum + encodedSizeBytes(encoded), 0);
		// The many datagrams of an exchange would use up all transmissions of an update on one receiver.
		const queuedUpdates = options.onlyUpdate !== undefined || message.case === 'exchange' ? [] : queue.take(settings.maxDatagramBytes - usedBytes, transmissionLimit(table.size));
		const payload = appendUpdates(base, [...priorityUpdates, ...queuedUpdates]);
		countTraffic(counters.sent[message.case], payload.length);
		transport.send(address, payload);
	}

	createHeader(): DatagramHeader {
		const {hostId, startedUnixMs, documentVersion} = this.context.self();
		return {
			fromHostId: hostId, fromStartedUnixMs: startedUnixMs, documentVersion, documentConfirmedAgeMs: this.context.documentConfirmedAgeMs(),
		};
	}

	/** Updates to include before queued ones: a receiver that is suspect or dead gets its own entry, so that it can refute it immediately. */
	#priorityUpdates({toHostId, onlyUpdate}: SendOptions): Member[] {
		if (onlyUpdate) {
			return [onlyUpdate];
		}

		const receiver = toHostId === undefined ? undefined : this.context.table.get(toHostId);
		return receiver && (receiver.state === 'suspect' || receiver.state === 'dead') ? [receiver] : [];
	}
}

