import {type Member, type MemberState} from '../definitions.js';

/** An update reports a recent change; entries of a table exchange may be minutes old. */
export type ClaimSource = 'update' | 'exchange';

/**
 * How to handle a claim that one member makes about another.
 * - `accept`: replace the known entry.
 * - `suspect`: the claim reports the death of a member that is alive in the local table; mark it suspect so that it
 *   can refute the claim.
 * - `verify`: ask the member itself, since the claim may come from the other side of a healed partition.
 */
export type Resolution = 'ignore' | 'accept' | 'suspect' | 'verify';

// Among claims of the same incarnation and refutation number, the state with the higher value wins.
const statePrecedence: Record<MemberState, number> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/** Positive if the claim supersedes the known entry. */
const comparePrecedence = (known: Member, claim: Member): number =>
	claim.startedUnixMs - known.startedUnixMs
	|| claim.refutation - known.refutation
	|| statePrecedence[claim.state] - statePrecedence[known.state];

export const resolveClaim = (known: Member | undefined, claim: Member, source: ClaimSource): Resolution => {
	if (!known) {
		// A member that was removed after its retention would otherwise be added again from tables that still list it, without end.
		return claim.state === 'dead' ? 'ignore' : 'accept';
	}

	if (comparePrecedence(known, claim) <= 0) {
		return 'ignore';
	}

	const isFailureClaim = claim.state === 'suspect' || claim.state === 'dead';
	if (known.state !== 'alive' || !isFailureClaim || claim.startedUnixMs !== known.startedUnixMs) {
		return 'accept';
	}

	if (source === 'exchange') {
		return 'verify';
	}

	return claim.state === 'dead' ? 'suspect' : 'accept';
};
