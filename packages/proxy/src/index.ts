/** Modules of the proxy that other packages use. */
export * from './http2/index.js';
export * from './platform/index.js';
export * from './settings/index.js';
export * from './gossip/index.js';
export * from './endpoint/index.js';
