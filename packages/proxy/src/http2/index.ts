/** HTTP/2 connections to other processes. */
export {GuardedSessionManager} from './infra/guarded-session-manager.js';
