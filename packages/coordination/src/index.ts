/**
 * Coordination logic for a fleet of database proxies. Opens no sockets: all external dependencies are
 * accessed through interfaces that the caller implements.
 */
export * from './admission/index.js';
export * from './document/index.js';
export * from './errors/index.js';
export * from './group/index.js';
export * from './dissemination/index.js';
export * from './membership/index.js';
export * from './ownership/index.js';
export * from './platform/index.js';
export * from './random/index.js';
export * from './read-routing/index.js';
export * from './retry-budget/index.js';
export * from './session-token/index.js';
export * from './service-level/index.js';
export * from './timer/index.js';
