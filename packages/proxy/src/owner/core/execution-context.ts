import {type SessionToken, type TimerService, type WorkClass} from '@dogwoodthread/coordination';
import {type ExecuteRequest, WorkClass as WireWorkClass} from '@dogwoodthread/protocol';
import {type OwnerOptions} from '../definitions.js';

/** A request on its way through the owner. Times are monotonic ms of this process. */
export type ExecutionContext = {
	request: ExecuteRequest;
	statementName: string;
	token: SessionToken | undefined;
	workClass: WorkClass | undefined;
	/** Greatest age of data that is acceptable, in ms; undefined if any. */
	maxAgeMs: number | undefined;
	deadlineMs: number;
};

const statedClasses: Partial<Record<WireWorkClass, WorkClass>> = {
	[WireWorkClass.CRITICAL]: 'critical',
	[WireWorkClass.SHORT]: 'short',
	[WireWorkClass.BROWSE]: 'browse',
	[WireWorkClass.LONG]: 'long',
};

export const toWorkClass = (workClass: WireWorkClass): WorkClass | undefined => statedClasses[workClass];

export const remainingMs = ({deadlineMs}: Pick<ExecutionContext, 'deadlineMs'>, timers: TimerService): number =>
	deadlineMs - timers.nowMs();

/**
 * Time to wait for an instance's answer. Work that is not long gets the progress timeout at most, so that
 * a silent connection is noticed before the caller's deadline.
 */
export function answerTimeoutMs(context: Pick<ExecutionContext, 'deadlineMs'>, workClass: WorkClass, {policy, timers}: Pick<OwnerOptions, 'policy' | 'timers'>): number {
	const leftMs = remainingMs(context, timers);
	return Math.max(1, workClass === 'long' ? leftMs : Math.min(leftMs, policy.progressTimeoutMs));
}
