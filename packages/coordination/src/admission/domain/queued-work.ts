import {type Result} from 'neverthrow';
import {type TimerSubscription} from '../../timer/index.js';
import {
	type AdmissionRequest, type Permit, type Refusal, type WorkClass,
} from '../definitions.js';

/** A request that waits for a slot. */
export type QueuedWork = {
	request: AdmissionRequest;
	workClass: WorkClass;
	/** Expected service time in ms. */
	estimateMs: number;
	queuedAtMs: number;
	/** Timer that refuses the request when its deadline can no longer be met. */
	expiry: TimerSubscription | undefined;
	settle: (result: Result<Permit, Refusal>) => void;
};
