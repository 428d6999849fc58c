/** The operators' tool: commands and the parts that run them. */
export * from './cli/index.js';
export * from './commands/index.js';
export * from './proxies/index.js';
