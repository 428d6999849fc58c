import {type RandomSource} from '../../random/index.js';
import {jitteredRetryAfterMs} from '../../retry-budget/index.js';
import {type Refusal, type RefusalKind} from '../definitions.js';

const messages: Readonly<Record<RefusalKind, string>> = {
	overloaded: 'The queue of the instance is full and the request did not run. Repeat it after retryAfterMs.',
	'deadline-cannot-be-met': 'The request did not run because it would not finish before its deadline. Repeat it after retryAfterMs or with a later deadline.',
	paused: 'The database accepts no work at the moment, e.g. while its primary changes, and the request did not run. Repeat it after retryAfterMs.',
	'invalid-request': 'The deadline is not a number and the request did not run. State a deadline in ms.',
};

/** Refusal with a retry time around `drainMs`, the time in which the queue empties. */
export const refusal = (kind: RefusalKind, drainMs: number, random: RandomSource): Refusal => ({
	kind, message: messages[kind], retryAfterMs: jitteredRetryAfterMs(drainMs, random),
});

/** Refusal of a request that a repeat as it is does not help. */
export const finalRefusal = (kind: RefusalKind): Refusal => ({kind, message: messages[kind], retryAfterMs: 0});
