import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/**
 * - `not-running`: the endpoint cannot become primary; another one must be chosen.
 * - `unavailable`: no answer, or a temporary refusal. If `outcomeKnown` is false, the call may have taken effect.
 */
export type PromotionCallError = TypedError<'not-running' | 'unavailable'> & {outcomeKnown: boolean};

/** Requests the platform to make an endpoint the primary of its group. */
export type PromotionService = {
	promote(call: {service: string; endpointId: string; holder: string; fencingToken: number}): ResultAsync<void, PromotionCallError>;
};

/** Why a primary must be replaced. */
export type FailoverReason =
	/** The primary is draining. */
	| 'leader-draining'
	/** The primary does not answer this host, and its replicas receive nothing. */
	| 'leader-unreachable'
	/** The primary answers, but its replicas do not receive its writes. */
	| 'leader-isolated'
	/** No member reports that it is the primary. */
	| 'leader-missing';
