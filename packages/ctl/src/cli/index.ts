/** Argument parsing, output and exit codes for all commands. */
export type {
	Command, CommandContext, CommandOptions, ExitCode, OptionDefinition, Output,
} from './definitions.js';
export {toFieldValue, toInlineText} from './domain/inline-text.js';
export {UsageError} from './domain/command-options.js';
export {readRequiredSection, readSectionOption} from './domain/section-option.js';
export {printError} from './core/print-error.js';
export {type CliOptions, runCli} from './core/run-cli.js';
export {createConnector} from './infra/connect.js';
