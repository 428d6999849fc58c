import {type SessionToken, type TimerService, type WorkClass} from '@dogwoodthread/coordination';
import {type ExecuteRequest, WorkClass as WireWorkClass} from '@dogwoodthread/protocol';
import {type OwnerOptions} from '../definitions.js';

/** A request being served by the owner. Times are monotonic ms of this process. */
export type ExecutionContext = {
	request: ExecuteRequest;
	statementName: string;
	token: SessionToken | undefined;
	workClass: WorkClass | undefined;
	/** Maximum acceptable staleness of the data; undefined if unbounded. */
	maxAgeMs: number | undefined;
	deadlineMs: number;
};

const workClassByWireValue: Partial<Record<WireWorkClass, WorkClass>> = {
	[WireWorkClass.CRITICAL]: 'critical',
	[WireWorkClass.SHORT]: 'short',
	[WireWorkClass.BROWSE]: 'browse',
	[WireWorkClass.LONG]: 'long',
};

export const toWorkClass = (workClass: WireWorkClass): WorkClass | undefined => workClassByWireValue[workClass];

export const getRemainingMs = ({deadlineMs}: Pick<ExecutionContext, 'deadlineMs'>, timers: TimerService): number =>
	deadlineMs - timers.nowMs();

/**
 * Time to wait for the response of an instance. Limited to the progress timeout except for long work, so
 * that an unresponsive connection is detected before the caller's deadline.
 */
export function getResponseTimeoutMs(context: Pick<ExecutionContext, 'deadlineMs'>, workClass: WorkClass, {policy, timers}: Pick<OwnerOptions, 'policy' | 'timers'>): number {
	const remainingMs = getRemainingMs(context, timers);
	return Math.max(1, workClass === 'long' ? remainingMs : Math.min(remainingMs, policy.progressTimeoutMs));
}
