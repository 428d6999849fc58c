import {create} from '@bufbuild/protobuf';
import {
	type ExecuteResponse, ExecuteResponseSchema, type RequestKey, type Done,
} from '@dogwoodthread/protocol';
import {
	notRunCatalogue, unknownCatalogue, type NotRunCode, type UnknownCode,
} from './catalogue.js';

/** Retry-after for conditions that pass within a failover. */
export const briefRetryAfterMs = 200;

/** The statement did not run. A `retryAfterMs` of 0 means that a repeat as it is will not help. */
export const notRun = (code: NotRunCode, detail: string, retryAfterMs: number): ExecuteResponse =>
	create(ExecuteResponseSchema, {
		outcome: {
			case: 'notRun',
			value: {code, message: `${detail} ${notRunCatalogue[code].hint}`, retryAfterMs: Math.ceil(retryAfterMs)},
		},
	});

/** How the caller gets the outcome of a request that may have run. */
const howToAskAgain = (requestKey: RequestKey | undefined, access: 'read' | 'write'): string => {
	if (access === 'read') {
		return 'Send the read again; it changed nothing.';
	}

	return requestKey
		? 'Send the same request key again to get the outcome.'
		: 'The request had no request key, so its outcome cannot be asked for; send one with each write.';
};

/** The statement may have run. */
export const unknown = (code: UnknownCode, requestKey: RequestKey | undefined, access: 'read' | 'write' = 'write'): ExecuteResponse =>
	create(ExecuteResponseSchema, {
		outcome: {
			case: 'unknown',
			value: {
				code,
				message: `${unknownCatalogue[code].title}. ${howToAskAgain(requestKey, access)}`,
				requestKey,
				retryAfterMs: briefRetryAfterMs,
			},
		},
	});

export const done = (value: Omit<Done, '$typeName'>): ExecuteResponse =>
	create(ExecuteResponseSchema, {outcome: {case: 'done', value: {...value, $typeName: 'dogwoodthread.v1.Done'}}});

/** Outcome of a read after another attempt: what may have run once is not "not run" because the next attempt was refused. */
export const afterRetry = (earlier: ExecuteResponse, later: ExecuteResponse): ExecuteResponse =>
	earlier.outcome.case === 'unknown' && later.outcome.case === 'notRun' ? earlier : later;
