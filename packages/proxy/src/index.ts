/** The proxy's parts that other packages use. */
export * from './platform/index.js';
