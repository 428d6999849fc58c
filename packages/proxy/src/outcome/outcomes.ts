import {create} from '@bufbuild/protobuf';
import {
	type ExecuteResponse, ExecuteResponseSchema, type RequestKey, type Done,
} from '@dogwoodthread/protocol';
import {
	notRunCatalogue, unknownCatalogue, type NotRunCode, type UnknownCode,
} from './catalogue.js';

/** Retry-after for conditions that last no longer than a failover. */
export const briefRetryAfterMs = 200;

/** Builds the outcome of a statement that did not run. A `retryAfterMs` of 0 means that retrying it unchanged will not help. */
export const notRun = (code: NotRunCode, detail: string, retryAfterMs: number): ExecuteResponse =>
	create(ExecuteResponseSchema, {
		outcome: {
			case: 'notRun',
			value: {code, message: `${detail} ${notRunCatalogue[code].hint}`, retryAfterMs: Math.ceil(retryAfterMs)},
		},
	});

/** Tells the caller how to learn the outcome of a request that may have run. */
const describeRetry = (requestKey: RequestKey | undefined, access: 'read' | 'write'): string => {
	if (access === 'read') {
		return 'Send the read again; it changed nothing.';
	}

	return requestKey
		? 'Send the same request key again to get the outcome.'
		: 'The request had no request key, so its outcome cannot be asked for; send one with each write.';
};

/** Builds the outcome of a statement that may have run. */
export const unknown = (code: UnknownCode, requestKey: RequestKey | undefined, access: 'read' | 'write' = 'write'): ExecuteResponse =>
	create(ExecuteResponseSchema, {
		outcome: {
			case: 'unknown',
			value: {
				code,
				message: `${unknownCatalogue[code].title}. ${describeRetry(requestKey, access)}`,
				requestKey,
				retryAfterMs: briefRetryAfterMs,
			},
		},
	});

export const done = (value: Omit<Done, '$typeName'>): ExecuteResponse =>
	create(ExecuteResponseSchema, {outcome: {case: 'done', value: {...value, $typeName: 'dogwoodthread.v1.Done'}}});

/** Outcome of a request after a retry. If an earlier attempt may have run, a refusal of the retry must not turn the outcome into "not run". */
export const mergeRetryOutcome = (earlier: ExecuteResponse, later: ExecuteResponse): ExecuteResponse =>
	earlier.outcome.case === 'unknown' && later.outcome.case === 'notRun' ? earlier : later;
