/** Stand-ins for the platform and for endpoints. */
export * from './endpoint/index.js';
export * from './platform/index.js';
