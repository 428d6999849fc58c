import {type Member} from '../definitions.js';
import {countTraffic} from '../domain/counters.js';
import {type ClaimReceiver} from './claim-receiver.js';
import {decodeDatagram, type DecodedDatagram} from './datagram-codec.js';
import {type GossipContext} from './gossip-context.js';
import {type Prober} from './prober.js';
import {type TableExchange} from './table-exchange.js';

export type DocumentVersionListener = (version: number, fromMember: Member, confirmedAgeMs: number | undefined) => void;

export type DatagramReceiverComponents = {prober: Prober; exchange: TableExchange; claimReceiver: ClaimReceiver};

/** Decodes datagrams and dispatches their contents. Invalid ones are counted and ignored. */
export class DatagramReceiver {
	readonly documentVersionListeners = new Set<DocumentVersionListener>();

	constructor(private readonly context: GossipContext, private readonly components: DatagramReceiverComponents) {}

	receive(fromAddress: string, payload: Uint8Array): void {
		const datagram = this.#decode(payload);
		if (!datagram) {
			return;
		}

		countTraffic(this.context.counters.received[datagram.message.case], payload.length);
		const from = this.context.table.get(datagram.fromHostId);
		if (datagram.fromHostId === this.context.self().hostId || (from && from.startedUnixMs > datagram.fromStartedUnixMs)) {
			this.context.counters.staleDatagrams += 1;
			return;
		}

		for (const update of datagram.updates) {
			this.components.claimReceiver.receive(update, 'update');
		}

		if (!this.context.table.get(datagram.fromHostId)) {
			this.components.exchange.exchangeWithUnknownSender(fromAddress);
		}

		this.#recordDocumentVersion(datagram);
		this.#receiveMessage(fromAddress, datagram);
	}

	#decode(payload: Uint8Array): DecodedDatagram | undefined {
		if (this.context.isStopped()) {
			return undefined;
		}

		try {
			return decodeDatagram(payload);
		} catch {
			this.context.counters.invalidDatagrams += 1;
			return undefined;
		}
	}

	#receiveMessage(fromAddress: string, {message, fromHostId, members}: DecodedDatagram): void {
		switch (message.case) {
			case 'ping': {
				this.components.prober.receivePing(fromAddress, fromHostId, message.value);
				break;
			}

			case 'ack': {
				this.components.prober.receiveAck(message.value.sequence);
				break;
			}

			case 'pingRequest': {
				this.components.prober.receivePingRequest(fromAddress, fromHostId, message.value);
				break;
			}

			case 'push': {
				break;
			}

			case 'exchange': {
				const hasNewMembers = members.some(member => !this.context.table.get(member.hostId));
				for (const member of members) {
					this.components.claimReceiver.receive(member, 'exchange');
				}

				this.components.exchange.receive(fromAddress, message.value, hasNewMembers);
			}
		}
	}

	/**
	 * Upper bound of the age of the sender's confirmation. Only acks are used: a datagram may have waited in the
	 * socket for any time, but an ack is no older than its ping.
	 */
	#confirmedAgeMs({message, documentConfirmedAgeMs}: DecodedDatagram): number | undefined {
		const elapsedMs = message.case === 'ack' ? this.components.prober.elapsedSincePingMs(message.value.sequence) : undefined;
		return elapsedMs === undefined || documentConfirmedAgeMs === undefined ? undefined : elapsedMs + documentConfirmedAgeMs;
	}

	#recordDocumentVersion(datagram: DecodedDatagram): void {
		const {fromHostId, fromStartedUnixMs, documentVersion} = datagram;
		const known = this.context.table.get(fromHostId);
		if (known?.startedUnixMs !== fromStartedUnixMs) {
			return;
		}

		const from = {...known, documentVersion: Math.max(documentVersion, known.documentVersion)};
		if (from.documentVersion !== known.documentVersion) {
			this.context.table.set(from);
		}

		const confirmedAgeMs = this.#confirmedAgeMs(datagram);
		for (const listener of this.documentVersionListeners) {
			listener(documentVersion, from, confirmedAgeMs);
		}
	}
}
