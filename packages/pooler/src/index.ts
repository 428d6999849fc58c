/** Connection pooling with session consistency: the components between the listeners and the adapters. */
export * from './catalog/index.js';
export * from './daemon/index.js';
export * from './endpoint/index.js';
export * from './failover/index.js';
export * from './fleet/index.js';
export * from './forward/index.js';
export * from './group/index.js';
export * from './input/index.js';
export * from './observability/index.js';
export * from './pool/index.js';
export * from './routing/index.js';
export * from './session/index.js';
export * from './session-memory/index.js';
export * from './statement/index.js';
export * from './store-history/index.js';
