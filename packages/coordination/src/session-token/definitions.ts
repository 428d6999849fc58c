import {type TypedError} from '../errors/index.js';

/** Log position that a session has seen in a database. The caller sends it with each request. */
export type SessionToken = {
	database: string;
	term: number;
	index: number;
};

/**
 * - `malformed-session-token`: the text does not have the token format.
 * - `forged-session-token`: the signature does not match any accepted key.
 * - `foreign-session-token`: issued for another database.
 */
export type SessionTokenErrorKind = 'malformed-session-token' | 'forged-session-token' | 'foreign-session-token';

export type SessionTokenError = TypedError<SessionTokenErrorKind>;
