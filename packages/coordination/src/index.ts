/**
 * Coordination parts for a fleet of database proxies: no sockets, every outside thing is a port.
 */
export * from './admission/index.js';
export type * from './document/index.js';
export type * from './errors/index.js';
export type * from './group/index.js';
export type * from './membership/index.js';
export type * from './ownership/index.js';
export * from './platform/index.js';
export * from './read-routing/index.js';
export * from './retry-budget/index.js';
export * from './service-level/index.js';
export type * from './session-token/index.js';
export * from './timer/index.js';
