import {type CAC, cac} from 'cac';
import {type Logger} from 'pino';
import {
	type Command, type CommandContext, type ExitCode, type Output,
} from '../definitions.js';
import {createCommandOptions, UsageError} from '../domain/command-options.js';
import {markTexts, toGivenText} from '../domain/verbatim-arguments.js';

export type CliOptions = {
	commands: readonly Command[];
	version: string;
	logger: Logger;
	write(text: string): void;
	/** Creates the parts of the context that are the same for every command. */
	connect(options: CommandContext['options']): Omit<CommandContext, 'args' | 'options' | 'print'> & {close(): void};
};

const commonOptions = [
	['--platform <url>', 'Base URL of the platform\'s object service'],
	['--proxy <address>', 'Peer address of any proxy, ip:port'],
	['--json', 'Print results as JSON lines'],
] as const;

/** Joins a command group and its command into one argument, because `cac` matches the first argument only. */
const joinCommandGroup = (argv: readonly string[], groups: ReadonlySet<string>): string[] => {
	const [node = '', script = '', group = '', name = '', ...rest] = argv;
	return groups.has(group) && name !== '' && !name.startsWith('-') ? [node, script, `${group} ${name}`, ...rest] : [...argv];
};

const buildCli = (options: CliOptions, select: (command: Command) => void): CAC => {
	const cli = cac('dogwoodctl');
	for (const command of options.commands) {
		const cacCommand = cli.command(command.usage, command.description);
		for (const [flag, description] of [...command.options, ...commonOptions]) {
			cacCommand.option(flag, description);
		}

		cacCommand.action(() => {
			select(command);
		});
	}

	cli.help();
	cli.version(options.version);
	return cli;
};

const findCommandGroups = (commands: readonly Command[]): Set<string> => new Set(commands
	.map(({usage}) => /^(?<group>[a-z]+) [a-z]/.exec(usage)?.groups?.group)
	.filter(group => group !== undefined));

const runCommand = async (cli: CAC, command: Command, options: CliOptions): Promise<ExitCode> => {
	const commandOptions = createCommandOptions(cli.options);
	const {close, ...context} = options.connect(commandOptions);
	const print = ({json, text}: Output) => {
		options.write(commandOptions.has('json') ? `${JSON.stringify(json)}\n` : `${text}\n`);
	};

	try {
		return await command.run({
			...context, args: cli.args.map(argument => toGivenText(argument)), options: commandOptions, print,
		});
	} finally {
		close();
	}
};

/** Parses the arguments, runs the command that they select and returns its exit code. */
export const runCli = async (argv: readonly string[], options: CliOptions): Promise<ExitCode> => {
	let selected: Command | undefined;
	const cli = buildCli(options, command => {
		selected = command;
	});
	try {
		cli.parse(joinCommandGroup(markTexts(argv), findCommandGroups(options.commands)), {run: false});
		if (cli.options.help === true || cli.options.version === true) {
			return 0;
		}

		cli.runMatchedCommand();
		if (!selected) {
			throw new UsageError(`There is no command ${argv.slice(2, 4).join(' ')}; see dogwoodctl --help.`);
		}

		return await runCommand(cli, selected, options);
	} catch (error) {
		const isUsageError = error instanceof UsageError || (error instanceof Error && error.name === 'CACError');
		options.logger.error({error: isUsageError ? undefined : error}, error instanceof Error ? error.message : String(error));
		return isUsageError ? 2 : 1;
	}
};
