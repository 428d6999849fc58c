import {type Member, type MemberState} from '../definitions.js';

/** Updates are recent events; an exchange repeats the whole table and may be minutes old. */
export type ClaimSource = 'update' | 'exchange';

/**
 * What to do with another member's claim about a third one.
 * - `accept`: replace the known entry.
 * - `suspect`: a death of a member that seems alive here; start a suspicion so that it can refute.
 * - `verify`: ask the member itself, since the claim may come from the far side of a healed partition.
 */
export type Resolution = 'ignore' | 'accept' | 'suspect' | 'verify';

// Within one incarnation and refutation number the higher rank wins.
const ranks: Record<MemberState, number> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

const compare = (known: Member, claim: Member): number =>
	claim.startedUnixMs - known.startedUnixMs
	|| claim.refutation - known.refutation
	|| ranks[claim.state] - ranks[known.state];

export const resolveClaim = (known: Member | undefined, claim: Member, source: ClaimSource): Resolution => {
	if (!known) {
		// Members removed after their retention would otherwise come back from slower members for ever.
		return claim.state === 'dead' ? 'ignore' : 'accept';
	}

	if (compare(known, claim) <= 0) {
		return 'ignore';
	}

	const negative = claim.state === 'suspect' || claim.state === 'dead';
	if (known.state !== 'alive' || !negative || claim.startedUnixMs !== known.startedUnixMs) {
		return 'accept';
	}

	if (source === 'exchange') {
		return 'verify';
	}

	return claim.state === 'dead' ? 'suspect' : 'accept';
};
