import {type Member} from '../definitions.js';
import {encodedSizeBytes, encodeUpdate} from './datagram-codec.js';

/** Updates that wait to ride on datagrams, each for a bounded number of times. */
export class UpdateQueue {
	/** Encoded updates by host, in one map for each number of past transmissions, so that none need sorting. */
	readonly #levels: Array<Map<string, Uint8Array>> = [new Map<string, Uint8Array>()];

	get size(): number {
		return this.#levels.reduce((sum, level) => sum + level.size, 0);
	}

	/** Replaces an earlier update about the same member. */
	add(member: Member): void {
		for (const level of this.#levels) {
			level.delete(member.hostId);
		}

		this.#levels[0]!.set(member.hostId, encodeUpdate(member));
	}

	/** Encoded updates that fit, the least often sent first. */
	take(budgetBytes: number, maxTransmissions: number): Uint8Array[] {
		const taken = this.#choose(budgetBytes);
		for (const {hostId, encoded, transmissions} of taken) {
			this.#levels[transmissions]!.delete(hostId);
			if (transmissions + 1 < maxTransmissions) {
				this.#levels[transmissions + 1] ??= new Map<string, Uint8Array>();
				this.#levels[transmissions + 1]!.set(hostId, encoded);
			}
		}

		return taken.map(({encoded}) => encoded);
	}

	#choose(budgetBytes: number): Array<{hostId: string; encoded: Uint8Array; transmissions: number}> {
		const chosen = [];
		let leftBytes = budgetBytes;
		for (const [transmissions, level] of this.#levels.entries()) {
			for (const [hostId, encoded] of level) {
				leftBytes -= encodedSizeBytes(encoded);
				if (leftBytes < 0) {
					return chosen;
				}

				chosen.push({hostId, encoded, transmissions});
			}
		}

		return chosen;
	}
}
