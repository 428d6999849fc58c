import {type Member} from '../definitions.js';
import {encodedSizeBytes, encodeUpdate} from './datagram-codec.js';

/** Updates to piggyback on outgoing datagrams, each for a limited number of transmissions. */
export class UpdateQueue {
	/** Encoded updates by host, in one map per number of past transmissions, which avoids sorting. */
	readonly #updatesByTransmissions: Array<Map<string, Uint8Array>> = [new Map<string, Uint8Array>()];

	get size(): number {
		return this.#updatesByTransmissions.reduce((sum, level) => sum + level.size, 0);
	}

	/** Adds an update; it replaces an earlier one about the same member. */
	add(member: Member): void {
		for (const level of this.#updatesByTransmissions) {
			level.delete(member.hostId);
		}

		this.#updatesByTransmissions[0]!.set(member.hostId, encodeUpdate(member));
	}

	/** Takes the updates that fit the budget, least often sent first, and counts one transmission of each. */
	take(budgetBytes: number, maxTransmissions: number): Uint8Array[] {
		const taken = this.#selectUpdates(budgetBytes);
		for (const {hostId, encoded, transmissions} of taken) {
			this.#updatesByTransmissions[transmissions]!.delete(hostId);
			if (transmissions + 1 < maxTransmissions) {
				this.#updatesByTransmissions[transmissions + 1] ??= new Map<string, Uint8Array>();
				this.#updatesByTransmissions[transmissions + 1]!.set(hostId, encoded);
			}
		}

		return taken.map(({encoded}) => encoded);
	}

	#selectUpdates(budgetBytes: number): Array<{hostId: string; encoded: Uint8Array; transmissions: number}> {
		const selected = [];
		let remainingBytes = budgetBytes;
		for (const [transmissions, level] of this.#updatesByTransmissions.entries()) {
			for (const [hostId, encoded] of level) {
				remainingBytes -= encodedSizeBytes(encoded);
				if (remainingBytes < 0) {
					return selected;
				}

				selected.push({hostId, encoded, transmissions});
			}
		}

		return selected;
	}
}
