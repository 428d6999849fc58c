import {readFileSync} from 'node:fs';
import {type CAC} from 'cac';

/** Version of this package. */
export const readVersion = (): string => {
	const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
	return (JSON.parse(text) as {version: string}).version;
};

type ProgramOptions = {
	/** The program exits with code 1 after this time; the processes it started are then killed. */
	timeLimitMs: number;
	log(message: string): void;
	/** Gives whether everything held. */
	run(): Promise<boolean>;
};

/** Runs the program to its exit code: 0 if everything held, 1 otherwise. */
export const runProgram = async ({timeLimitMs, log, run}: ProgramOptions): Promise<never> => {
	setTimeout(() => {
		log(`not finished after ${timeLimitMs} ms, giving up`);
		process.exit(1);
	}, timeLimitMs);
	try {
		process.exit(await run() ? 0 : 1);
	} catch (error) {
		log(error instanceof Error ? error.stack ?? error.message : String(error));
		process.exit(1);
	}
};

/** Ends the program with the code for wrong usage. */
export const exitWithUsageError = (program: string, message: string): never => {
	process.stderr.write(`${message}\nRun ${program} --help for the usage.\n`);
	process.exit(2);
};

/** Parses the arguments and runs the command. */
export const parseCommandLine = (cli: CAC): void => {
	cli.help();
	cli.version(readVersion());
	try {
		cli.parse();
	} catch (error) {
		exitWithUsageError(cli.name, error instanceof Error ? error.message : String(error));
	}
};
