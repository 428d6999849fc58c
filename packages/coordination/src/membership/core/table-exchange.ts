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

// A datagram with members may also contain digests or wanted buckets.
const maxBucketFieldsBytes = 2 * bucketCount;

/**
 * Anti-entropy exchange of member tables, which repairs differences left by lost updates. The members compare digests
 * of buckets first, since a table of thousands of members takes hundreds of datagrams.
 */
export class TableExchange {
	#isFollowUpScheduled = false;
	#unknownSenderExchangeMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly context: GossipContext, private readonly sender: DatagramSender) {}

	/** Sends the digests of this table; the receiver answers with the buckets that differ. */
	start(address: string): void {
		// The receiver gossips the entry on, which matters for a process that has just started.
		this.#send(address, {bucketDigests: this.context.table.bucketDigests()}, {onlyUpdate: this.context.self()});
	}

	/** Continues the exchange; `hasNewMembers` tells whether the datagram contained unknown members. */
	receive(fromAddress: string, exchange: GossipExchange, hasNewMembers: boolean): void {
		if (exchange.bucketDigests.length === bucketCount) {
			this.#answerDigests(fromAddress, exchange.bucketDigests);
		}

		if (exchange.wantedBuckets.length > 0) {
			this.#sendMembers(fromAddress, this.context.table.membersInBuckets(new Set(exchange.wantedBuckets)), {});
		}

		if (hasNewMembers) {
			this.#scheduleFollowUp();
		}
	}

	/** Starts an exchange with a sender that is not in the table, since more members may be missing; at most once per probe interval. */
	exchangeWithUnknownSender(fromAddress: string): void {
		const nowMs = this.context.timers.nowMs();
		if (nowMs - this.#unknownSenderExchangeMs >= this.context.settings.probeIntervalMs) {
			this.#unknownSenderExchangeMs = nowMs;
			this.start(fromAddress);
		}
	}

	#answerDigests(address: string, digests: readonly number[]): void {
		const ownDigests = this.context.table.bucketDigests();
		const differingBuckets = shuffle([...ownDigests.keys()].filter(bucket => ownDigests[bucket] !== digests[bucket]), this.context.random);
		if (differingBuckets.length > 0) {
			const requestedBuckets = this.#limitToAnswerBudget(differingBuckets);
			const members = this.context.table.membersInBuckets(new Set(requestedBuckets));
			this.#sendMembers(address, members, {wantedBuckets: requestedBuckets});
		}
	}

	/** The buckets that fit one answer, at least one. */
	#limitToAnswerBudget(buckets: number[]): number[] {
		const {settings, table} = this.context;
		const meanBytes = (table.size / bucketCount) * encodedSizeBytes(encodeMember(this.context.self()));
		return buckets.slice(0, Math.max(1, Math.floor(settings.maxExchangeAnswerBytes / meanBytes)));
	}

	/** Schedules an exchange with another member after one that contained unknown members, since more may be missing. */
	#scheduleFollowUp(): void {
		const {timers, settings, table, random} = this.context;
		if (this.#isFollowUpScheduled) {
			return;
		}

		this.#isFollowUpScheduled = true;
		timers.after(settings.probeTimeoutMs, () => {
			this.#isFollowUpScheduled = false;
			const [hostId] = sample(table.livePeerIds(), 1, random);
			if (hostId !== undefined) {
				this.start(table.get(hostId)!.gossipAddress);
			}
		});
	}

	#sendMembers(address: string, members: readonly Member[], lastChunkFields: {wantedBuckets?: number[]}): void {
		const chunks = this.#splitByDatagramSize(members);
		for (const [index, chunk] of chunks.entries()) {
			const fields = index === chunks.length - 1 ? lastChunkFields : {};
			this.#send(address, {members: chunk.map(member => toWireMember(member)), ...fields});
		}
	}

	/** Splits the members into chunks that fit one datagram each; returns at least one chunk. */
	#splitByDatagramSize(members: readonly Member[]): Member[][] {
		const {settings} = this.context;
		const emptyBytes = encodeDatagram(this.sender.createHeader(), {case: 'exchange', value: create(GossipExchangeSchema)}).length;
		const budgetBytes = settings.maxDatagramBytes - emptyBytes - maxBucketFieldsBytes;
		const chunks: Member[][] = [[]];
		let remainingBytes = budgetBytes;
		for (const member of members) {
			const sizeBytes = encodedSizeBytes(encodeMember(member));
			if (sizeBytes > remainingBytes) {
				chunks.push([]);
				remainingBytes = budgetBytes;
			}

			remainingBytes -= sizeBytes;
			chunks.at(-1)!.push(member);
		}

		return chunks;
	}

	#send(address: string, fields: Parameters<typeof create<typeof GossipExchangeSchema>>[1], options?: SendOptions): void {
		this.sender.send(address, {case: 'exchange', value: create(GossipExchangeSchema, fields)}, options);
	}
}
