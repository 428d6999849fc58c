import {type Member} from '../definitions.js';
import {encodedSizeBytes, encodeUpdate} from './datagram-codec.js';

type Entry = {encoded: Uint8Array; transmissions: number};

/** Updates that wait to ride on datagrams, each for a bounded number of times. */
export class UpdateQueue {
	readonly #entries = new Map<string, Entry>();

	get size(): number {
		return this.#entries.size;
	}

	/** Replaces an earlier update about the same member. */
	add(member: Member): void {
		// Deleting first moves the update to the end of the insertion order.
		this.#entries.delete(member.hostId);
		this.#entries.set(member.hostId, {encoded: encodeUpdate(member), transmissions: 0});
	}

	/** Encoded updates that fit, the least often sent first. */
	take(budgetBytes: number, maxTransmissions: number): Uint8Array[] {
		const taken: Uint8Array[] = [];
		let leftBytes = budgetBytes;
		for (const [hostId, entry] of this.#leastSentFirst()) {
			const sizeBytes = encodedSizeBytes(entry.encoded);
			if (sizeBytes > leftBytes) {
				break;
			}

			leftBytes -= sizeBytes;
			taken.push(entry.encoded);
			entry.transmissions += 1;
			if (entry.transmissions >= maxTransmissions) {
				this.#entries.delete(hostId);
			}
		}

		return taken;
	}

	#leastSentFirst(): Array<[string, Entry]> {
		return [...this.#entries].sort(([, a], [, b]) => a.transmissions - b.transmissions);
	}
}
