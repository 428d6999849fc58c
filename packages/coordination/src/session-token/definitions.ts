import {type TypedError} from '../errors/index.js';

/** Point in a database's log that a session has seen. Travels with the caller. */
export type SessionToken = {
	database: string;
	term: number;
	index: number;
};

/**
 * - `malformed-session-token`: not the shape of a token.
 * - `forged-session-token`: the signature does not match any accepted key.
 * - `foreign-session-token`: issued for another database.
 */
export type SessionTokenErrorKind = 'malformed-session-token' | 'forged-session-token' | 'foreign-session-token';

export type SessionTokenError = TypedError<SessionTokenErrorKind>;
