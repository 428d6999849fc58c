import {type Member} from '../definitions.js';
import {countTraffic} from '../domain/counters.js';
import {type ClaimReceiver} from './claim-receiver.js';
import {decodeDatagram, type DecodedDatagram} from './datagram-codec.js';
import {type GossipContext} from './gossip-context.js';
import {type Prober} from './prober.js';
import {type TableExchange} from './table-exchange.js';

export type DocumentVersionListener = (version: number, fromMember: Member, confirmedAgeMs: number | undefined) => void;

export type DatagramReceiverParts = {prober: Prober; exchange: TableExchange; claims: ClaimReceiver};

/** Decodes datagrams and hands their contents to the parts. Bad ones are counted and ignored. */
export class DatagramReceiver {
	readonly documentListeners = new Set<DocumentVersionListener>();

	constructor(private readonly context: GossipContext, private readonly parts: DatagramReceiverParts) {}

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
			this.parts.claims.receive(update, 'update');
		}

		this.#noteDocumentVersion(datagram);
		this.#receiveMessage(fromAddress, datagram);
	}

	#decode(payload: Uint8Array): DecodedDatagram | undefined {
		if (this.context.isStopped()) {
			return undefined;
		}

		try {
			return decodeDatagram(payload);
		} catch {
			this.context.counters.badDatagrams += 1;
			return undefined;
		}
	}

	#receiveMessage(fromAddress: string, {message, fromHostId, members}: DecodedDatagram): void {
		switch (message.case) {
			case 'ping': {
				this.parts.prober.receivePing(fromAddress, fromHostId, message.value);
				break;
			}

			case 'ack': {
				this.parts.prober.receiveAck(message.value.sequence);
				break;
			}

			case 'pingRequest': {
				this.parts.prober.receivePingRequest(fromAddress, fromHostId, message.value);
				break;
			}

			case 'exchange': {
				for (const member of members) {
					this.parts.claims.receive(member, 'exchange');
				}

				this.parts.exchange.receive(fromAddress, message.value);
			}
		}
	}

	#noteDocumentVersion({fromHostId, fromStartedUnixMs, documentVersion, documentConfirmedAgeMs}: DecodedDatagram): void {
		const known = this.context.table.get(fromHostId);
		if (known?.startedUnixMs !== fromStartedUnixMs) {
			return;
		}

		const from = {...known, documentVersion: Math.max(documentVersion, known.documentVersion)};
		if (from.documentVersion !== known.documentVersion) {
			this.context.table.set(from);
		}

		for (const listener of this.documentListeners) {
			listener(documentVersion, from, documentConfirmedAgeMs);
		}
	}
}
