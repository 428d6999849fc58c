/** Stand-ins of outside systems. */
export * from './platform/index.js';
