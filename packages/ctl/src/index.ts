/** `dogwoodctl`, the command-line tool for operators: the commands and the code that runs them. */
export * from './cli/index.js';
export * from './commands/index.js';
export * from './proxies/index.js';
