import {create} from '@bufbuild/protobuf';
import {type GossipExchange, GossipExchangeSchema, type GossipMember} from '@dogwoodthread/protocol';
import {
	encodedSizeBytes, encodeDatagram, encodeMember, toWireMember,
} from './datagram-codec.js';
import {type DatagramSender} from './datagram-sender.js';
import {type GossipContext} from './gossip-context.js';

/** Full exchange of the member table, split over datagrams. Repairs what single updates missed. */
export class TableExchange {
	constructor(private readonly context: GossipContext, private readonly sender: DatagramSender) {}

	/** Sends only this member's own entry and asks for the receiver's table. */
	request(address: string): void {
		this.#send(address, [toWireMember(this.context.self())], true);
	}

	/** Sends the whole table and asks for the receiver's. */
	start(address: string): void {
		this.#sendTable(address, true);
	}

	receive(fromAddress: string, {replyWanted}: GossipExchange): void {
		if (replyWanted) {
			this.#sendTable(fromAddress, false);
		}
	}

	#sendTable(address: string, replyWanted: boolean): void {
		const chunks = this.#chunks();
		for (const [index, chunk] of chunks.entries()) {
			this.#send(address, chunk, replyWanted && index === chunks.length - 1);
		}
	}

	#chunks(): GossipMember[][] {
		const {settings, table} = this.context;
		const emptyBytes = encodeDatagram(this.sender.header(), {case: 'exchange', value: create(GossipExchangeSchema, {replyWanted: true})}).length;
		const budgetBytes = settings.maxDatagramBytes - emptyBytes - 3;
		const chunks: GossipMember[][] = [];
		let leftBytes = 0;
		for (const member of table.list()) {
			const sizeBytes = encodedSizeBytes(encodeMember(member));
			if (sizeBytes > leftBytes) {
				chunks.push([]);
				leftBytes = budgetBytes;
			}

			leftBytes -= sizeBytes;
			chunks.at(-1)!.push(toWireMember(member));
		}

		return chunks;
	}

	#send(address: string, members: GossipMember[], replyWanted: boolean): void {
		this.sender.send(address, {case: 'exchange', value: create(GossipExchangeSchema, {members, replyWanted})});
	}
}
