import {readFileSync} from 'node:fs';

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
