import {type Member} from '../definitions.js';
import {type ClaimSource, resolveClaim} from '../domain/claims.js';
import {type GossipContext} from './gossip-context.js';

export type ClaimEffects = {
	/** A claim about this member that it must contradict. */
	refute(claim: Member): void;
	/** A claim from an old table about a member that seems alive: ask the member itself. */
	verify(claim: Member): void;
};

/** Fills in the fields that most updates leave out, if they are known. */
const withKnownFields = (claim: Member, known: Member | undefined): Member | undefined => {
	if (claim.gossipAddress !== '') {
		return claim;
	}

	return known?.startedUnixMs === claim.startedUnixMs
		? {...known, refutation: claim.refutation, state: claim.state}
		: undefined;
};

/** Applies other members' claims to the table. */
export class ClaimReceiver {
	constructor(private readonly context: GossipContext, private readonly effects: ClaimEffects) {}

	receive(claim: Member, source: ClaimSource): void {
		const self = this.context.self();
		if (claim.hostId === self.hostId) {
			this.#receiveAboutSelf(claim, self);
			return;
		}

		const known = this.context.table.get(claim.hostId);
		const entry = withKnownFields(claim, known);
		if (entry) {
			this.#resolve(known, entry, source);
		}
	}

	/** Puts an entry into the table and spreads it. */
	apply(member: Member): void {
		this.#store(member, true);
	}

	/**
	 * What an exchange brought is not spread: a member that has just started would otherwise send the
	 * whole table on, and the others have exchanges of their own.
	 */
	#store(member: Member, spread: boolean): void {
		const {table, queue, counters} = this.context;
		const known = table.get(member.hostId);
		const sameProcess = known?.startedUnixMs === member.startedUnixMs;
		if (sameProcess && known.state === 'suspect' && member.state === 'alive') {
			counters.suspicionsRefuted += 1;
		}

		if (sameProcess && known.state === 'dead' && member.state !== 'dead') {
			counters.deathsRefuted += 1;
		}

		// An entry that took a detour may carry an older document version than is known.
		const documentVersion = sameProcess ? Math.max(known.documentVersion, member.documentVersion) : member.documentVersion;
		const entry = {...member, documentVersion};
		table.set(entry);
		if (spread) {
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
				this.effects.verify(claim);

				break;
			}

			case 'ignore': {
				break;
			}
		}
	}

	#receiveAboutSelf(claim: Member, self: Member): void {
		const negative = claim.state === 'suspect' || claim.state === 'dead';
		if (claim.startedUnixMs === self.startedUnixMs && negative && claim.refutation >= self.refutation) {
			this.effects.refute(claim);
		} else if (claim.startedUnixMs < self.startedUnixMs || (claim.startedUnixMs === self.startedUnixMs && negative)) {
			// The sender missed the refutation or the restart.
			this.context.queue.add(self);
		} else if (claim.startedUnixMs > self.startedUnixMs) {
			this.context.logger?.warn({hostId: self.hostId, startedUnixMs: claim.startedUnixMs}, 'A later incarnation of this host is running; stop this process or correct the clock.');
		}
	}
}
