import {type Platform, type TimerService} from '@dogwoodthread/coordination';
import {type ProxyView} from '../proxies/index.js';

/** 0: success, 1: failed or refused, 2: invalid usage. */
export type ExitCode = 0 | 1 | 2;

/** One result, printed as a JSON line with `--json` and as text otherwise. */
export type Output = {json: Record<string, unknown>; text: string};

/** Arguments and services that a command runs with. */
export type CommandContext = {
	/** Positional arguments. */
	args: readonly string[];
	options: CommandOptions;
	timers: TimerService;
	/** Throws a `UsageError` if `--platform` was not given. */
	platform(): Platform;
	/** Throws a `UsageError` if `--proxy` was not given. */
	proxies(): ProxyView;
	/** Reads a file, or standard input for `-`. */
	readFile(path: string): string;
	newChangeId(): string;
	print(output: Output): void;
};

/** Options of an invocation; values are validated when they are read. */
export type CommandOptions = {
	has(name: string): boolean;
	text(name: string): string | undefined;
	/** Throws a `UsageError` if the option is missing. */
	requiredText(name: string): string;
	texts(name: string): string[];
	/** Throws a `UsageError` if the value is not a whole number of at least 0. */
	wholeNumber(name: string): number | undefined;
};

export type OptionDefinition = readonly [flag: string, description: string];

/** One command of `dogwoodctl`. */
export type Command = {
	/** For example `document show [file]`. */
	usage: string;
	description: string;
	options: readonly OptionDefinition[];
	run(context: CommandContext): Promise<ExitCode>;
};
