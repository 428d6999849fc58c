import {err, ok} from 'neverthrow';

/**
 * Instances of one database group in memory, as a `GroupControl`: an instance refuses every term below
 * the one at which it is fenced, and one that is down does not answer.
 */
export class MemoryInstances {
	#instances;

	/** `logs` maps member ids to the last position of their logs. */
	constructor(logs) {
		this.#instances = new Map(Object.entries(logs).map(([memberId, last]) => [memberId, {fencedTerm: last.term, last, isDown: false}]));
	}

	stop(memberId) {
		this.#instances.get(memberId).isDown = true;
	}

	async fence(_database, member, term) {
		return this.#answer(member, instance => this.#raiseFence(instance, term));
	}

	async promote(_database, member, term) {
		return this.#answer(member, instance => {
			const reply = this.#raiseFence(instance, term);
			if (reply.accepted) {
				// Appends the term-start entry, which confirms the entries of earlier terms.
				instance.last = {term, index: instance.last.index + 1};
			}

			return reply;
		});
	}

	async follow(_database, member, term) {
		return this.#answer(member, instance => this.#raiseFence(instance, term));
	}

	#raiseFence(instance, term) {
		const accepted = term >= instance.fencedTerm;
		instance.fencedTerm = Math.max(instance.fencedTerm, term);
		return {accepted, fencedTerm: instance.fencedTerm, last: instance.last};
	}

	#answer({memberId}, operation) {
		const instance = this.#instances.get(memberId);
		return instance.isDown
			? err({kind: 'unreachable', message: `Instance ${memberId} is down.`})
			: ok(operation(instance));
	}
}
