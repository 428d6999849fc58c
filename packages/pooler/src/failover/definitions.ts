import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/**
 * - `not-running`: the endpoint cannot take over; choose another one.
 * - `unavailable`: no answer, or refused for now. The call may have taken effect if `outcomeKnown` is false.
 */
export type PromotionCallError = TypedError<'not-running' | 'unavailable'> & {outcomeKnown: boolean};

/** Orders the platform to make an endpoint the primary of its group. */
export type PromotionService = {
	promote(call: {service: string; endpointId: string; holder: string; fencingToken: number}): ResultAsync<void, PromotionCallError>;
};

/** Why a primary is to be replaced. */
export type FailoverReason =
	/** It announced that it leaves. */
	| 'leader-draining'
	/** It answers nobody here, and its replicas receive nothing. */
	| 'leader-unreachable'
	/** It answers, but its replicas receive nothing of what it wrote. */
	| 'leader-isolated'
	/** Nobody says that it is the primary. */
	| 'leader-missing';
