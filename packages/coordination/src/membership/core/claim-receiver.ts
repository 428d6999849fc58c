import {type Member} from '../definitions.js';
import {type ClaimSource, resolveClaim} from '../domain/claims.js';
import {type GossipContext} from './gossip-context.js';

export type ClaimCallbacks = {
	/** Called for a claim that this member is suspect or dead, which it has to refute. */
	refute(claim: Member): void;
	/** Called for a claim from a table exchange that contradicts an alive entry; the member itself has to be asked. */
	verify(claim: Member): void;
};

/** Fills in the fields that updates may omit; undefined if they are not known for this incarnation. */
const fillOmittedFields = (claim: Member, known: Member | undefined): Member | undefined => {
	if (claim.gossipAddress !== '') {
		return claim;
	}

	return known?.startedUnixMs === claim.startedUnixMs
		? {...known, refutation: claim.refutation, state: claim.state}
		: undefined;
};

/** Applies claims of other members to the member table. */
export class ClaimReceiver {
	constructor(private readonly context: GossipContext, private readonly callbacks: ClaimCallbacks) {}

	receive(claim: Member, source: ClaimSource): void {
		const self = this.context.self();
		if (claim.hostId === self.hostId) {
			this.#receiveAboutSelf(claim, self);
			return;
		}

		const known = this.context.table.get(claim.hostId);
		const entry = fillOmittedFields(claim, known);
		if (entry) {
			this.#resolve(known, entry, source);
		}
	}

	/** Stores an entry in the table and queues it for gossip. */
	apply(member: Member): void {
		this.#store(member, true);
	}

	/**
	 * Entries from an exchange are not queued for gossip: a member that has just started would otherwise forward the
	 * whole table, and the other members run exchanges of their own.
	 */
	#store(member: Member, shouldSpread: boolean): void {
		const {table, queue, counters} = this.context;
		const known = table.get(member.hostId);
		const isSameIncarnation = known?.startedUnixMs === member.startedUnixMs;
		if (isSameIncarnation && known.state === 'suspect' && member.state === 'alive') {
			counters.suspicionsRefuted += 1;
		}

		if (isSameIncarnation && known.state === 'dead' && member.state !== 'dead') {
			counters.deathsRefuted += 1;
		}

		// An entry that was relayed by other members may have an older document version than the known entry.
		const documentVersion = isSameIncarnation ? Math.max(known.documentVersion, member.documentVersion) : member.documentVersion;
		const entry = {...member, documentVersion};
		table.set(entry);
		if (shouldSpread) {
			queue.add(entry);
		}
	}

	#resolve(known: Member | undefined, claim: Member, source: ClaimSource): void {
		switch (resolveClaim(known, claim, source)) {
			case 'accept': {
				this.#store(claim, source === 'update');

				break;
			}

			case 'suspect': {
				this.apply({...claim, state: 'suspect'});

				break;
			}

			case 'verify': {
				this.callbacks.verify(claim);

				break;
			}

			case 'ignore': {
				break;
			}
		}
	}

	#receiveAboutSelf(claim: Member, self: Member): void {
		const isFailureClaim = claim.state === 'suspect' || claim.state === 'dead';
		if (claim.startedUnixMs === self.startedUnixMs && isFailureClaim && claim.refutation >= self.refutation) {
			this.callbacks.refute(claim);
		} else if (claim.startedUnixMs < self.startedUnixMs || (claim.startedUnixMs === self.startedUnixMs && isFailureClaim)) {
			// The sender has not yet received the refutation or the restart.
			this.context.queue.add(self);
		} else if (claim.startedUnixMs > self.startedUnixMs) {
			this.context.logger?.warn({hostId: self.hostId, startedUnixMs: claim.startedUnixMs}, 'A later incarnation of this host is running; stop this process or correct the clock.');
		}
	}
}
