/** Session tokens: signed log positions that carry read-your-writes between proxies. */
export type {SessionToken, SessionTokenError, SessionTokenErrorKind} from './definitions.js';
export {SessionTokenCodec} from './domain/session-token-codec.js';
