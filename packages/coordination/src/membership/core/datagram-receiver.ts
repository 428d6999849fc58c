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

		if (!this.context.table.get(datagram.fromHostId)) {
			this.parts.exchange.receiveUnknown(fromAddress);
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

			case 'push': {
				break;
			}

			case 'exchange': {
				const learnedMembers = members.some(member => !this.context.table.get(member.hostId));
				for (const member of members) {
					this.parts.claims.receive(member, 'exchange');
				}

				this.parts.exchange.receive(fromAddress, message.value, learnedMembers);
			}
		}
	}

	/**
	 * Age of the sender's confirmation at the latest. Only answers count, since a datagram may have
	 * waited in the socket for any time; an answer is at most as old as the question.
	 */
	#confirmedAgeMs({message, documentConfirmedAgeMs}: DecodedDatagram): number | undefined {
		const elapsedMs = message.case === 'ack' ? this.parts.prober.elapsedMs(message.value.sequence) : undefined;
		return elapsedMs === undefined || documentConfirmedAgeMs === undefined ? undefined : elapsedMs + documentConfirmedAgeMs;
	}

	#noteDocumentVersion(datagram: DecodedDatagram): void {
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
		for (const listener of this.documentListeners) {
			listener(documentVersion, from, confirmedAgeMs);
		}
	}
}
