/** Session tokens: signed log positions that provide read-your-writes consistency across proxies. */
export type {SessionToken, SessionTokenError, SessionTokenErrorKind} from './definitions.js';
export {SessionTokenCodec} from './domain/session-token-codec.js';
