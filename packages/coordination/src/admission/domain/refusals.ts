import {type RandomSource} from '../../random/index.js';
import {jitteredRetryAfterMs} from '../../retry-budget/index.js';
import {type Refusal, type RefusalKind} from '../definitions.js';

const messages: Readonly<Record<RefusalKind, string>> = {
	overloaded: 'The queue of the instance is full and the request did not run. Repeat it after retryAfterMs.',
	'deadline-cannot-be-met': 'The request did not run because it would not finish before its deadline. Repeat it after retryAfterMs or with a later deadline.',
	paused: 'The database accepts no work at the moment, e.g. while its primary changes, and the request did not run. Repeat it after retryAfterMs.',
	'invalid-request': 'The deadline is not a number and the request did not run. State a deadline in ms.',
};

/** Creates a refusal with a jittered retry delay around `drainMs`, the expected time until the queue is empty. */
export const createRefusal = (kind: RefusalKind, drainMs: number, random: RandomSource): Refusal => ({
	kind, message: messages[kind], retryAfterMs: jitteredRetryAfterMs(drainMs, random),
});

/** Creates a refusal of a request that cannot succeed if it is retried unchanged. */
export const createFinalRefusal = (kind: RefusalKind): Refusal => ({kind, message: messages[kind], retryAfterMs: 0});
