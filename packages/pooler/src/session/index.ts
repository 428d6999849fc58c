/** A client's connection: session state, single statements and transactions. */
export {Session, type SessionContext} from './session.js';
