import {create} from '@bufbuild/protobuf';
import {type GossipExchange, GossipExchangeSchema} from '@dogwoodthread/protocol';
import {type Member} from '../definitions.js';
import {sample, shuffle} from '../../random/index.js';
import {bucketCount} from '../domain/table-digest.js';
import {
	encodedSizeBytes, encodeDatagram, encodeMember, toWireMember,
} from './datagram-codec.js';
import {type DatagramSender, type SendOptions} from './datagram-sender.js';
import {type GossipContext} from './gossip-context.js';

// Own digests or wanted buckets ride with the members of a chunk.
const bucketFieldsBytes = 2 * bucketCount;

/**
 * Exchange of member tables. Repairs what single updates missed. Digests of buckets are compared
 * first, since a table of thousands of members takes hundreds of datagrams.
 */
export class TableExchange {
	#continues = false;
	#unknownSeenMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly context: GossipContext, private readonly sender: DatagramSender) {}

	/** Sends the digests of the own table; the receiver answers with what differs. */
	start(address: string): void {
		// The receiver spreads the entry of a process that has just started.
		this.#send(address, {bucketDigests: this.context.table.digests()}, {only: this.context.self()});
	}

	/** Continues the exchange; `learnedMembers` tells whether the datagram brought unknown members. */
	receive(fromAddress: string, exchange: GossipExchange, learnedMembers: boolean): void {
		if (exchange.bucketDigests.length === bucketCount) {
			this.#answerDigests(fromAddress, exchange.bucketDigests);
		}

		if (exchange.wantedBuckets.length > 0) {
			this.#sendMembers(fromAddress, this.context.table.inBuckets(new Set(exchange.wantedBuckets)), {});
		}

		if (learnedMembers) {
			this.#continueSoon();
		}
	}

	/** A member that is missing here sent a datagram: what else is missing? */
	receiveUnknown(fromAddress: string): void {
		const nowMs = this.context.timers.nowMs();
		if (nowMs - this.#unknownSeenMs >= this.context.settings.probeIntervalMs) {
			this.#unknownSeenMs = nowMs;
			this.start(fromAddress);
		}
	}

	#answerDigests(address: string, digests: readonly number[]): void {
		const own = this.context.table.digests();
		const differing = shuffle([...own.keys()].filter(bucket => own[bucket] !== digests[bucket]), this.context.random);
		if (differing.length > 0) {
			const covered = this.#coverBudget(differing);
			const members = this.context.table.inBuckets(new Set(covered));
			this.#sendMembers(address, members, {wantedBuckets: covered});
		}
	}

	/** As many buckets as one answer may hold, at least one. */
	#coverBudget(buckets: number[]): number[] {
		const {settings, table} = this.context;
		const meanBytes = (table.size / bucketCount) * encodedSizeBytes(encodeMember(this.context.self()));
		return buckets.slice(0, Math.max(1, Math.floor(settings.exchangeBytes / meanBytes)));
	}

	/** An exchange that brought unknown members is followed by one with another member, as more may be missing. */
	#continueSoon(): void {
		const {timers, settings, table, random} = this.context;
		if (this.#continues) {
			return;
		}

		this.#continues = true;
		timers.after(settings.probeTimeoutMs, () => {
			this.#continues = false;
			const [hostId] = sample(table.others(), 1, random);
			if (hostId !== undefined) {
				this.start(table.get(hostId)!.gossipAddress);
			}
		});
	}

	#sendMembers(address: string, members: readonly Member[], last: {wantedBuckets?: number[]}): void {
		const chunks = this.#chunks(members);
		for (const [index, chunk] of chunks.entries()) {
			const fields = index === chunks.length - 1 ? last : {};
			this.#send(address, {members: chunk.map(member => toWireMember(member)), ...fields});
		}
	}

	/** Members split so that each part fits one datagram; at least one part. */
	#chunks(members: readonly Member[]): Member[][] {
		const {settings} = this.context;
		const emptyBytes = encodeDatagram(this.sender.header(), {case: 'exchange', value: create(GossipExchangeSchema)}).length;
		const budgetBytes = settings.maxDatagramBytes - emptyBytes - bucketFieldsBytes;
		const chunks: Member[][] = [[]];
		let leftBytes = budgetBytes;
		for (const member of members) {
			const sizeBytes = encodedSizeBytes(encodeMember(member));
			if (sizeBytes > leftBytes) {
				chunks.push([]);
				leftBytes = budgetBytes;
			}

			leftBytes -= sizeBytes;
			chunks.at(-1)!.push(member);
		}

		return chunks;
	}

	#send(address: string, fields: Parameters<typeof create<typeof GossipExchangeSchema>>[1], options?: SendOptions): void {
		this.sender.send(address, {case: 'exchange', value: create(GossipExchangeSchema, fields)}, options);
	}
}
