/** Parts of the programs that play seeds and can play those again that failed once. */
import {readFileSync} from 'node:fs';
import pino from 'pino';
import {parse} from 'yaml';
import {z} from 'zod';
import {runProgram} from './run-program.js';

export type ProgramLog = (message: string, fields?: Record<string, unknown>) => void;

/** Start, end and checks of one seed, in ms. */
const overheadMs = 120_000;

/** Logs to standard error, so that standard output has the results only. */
export function createProgramLog(): ProgramLog {
	const logger = pino({base: undefined}, pino.destination({fd: 2, sync: true}));
	return (message, fields = {}) => {
		logger.info(fields, message);
	};
}

/** Reads the runs that failed once, each with its cause, from a file beside the package's sources. */
export const readRegressions = <Run>(fileName: string, runSchema: z.ZodType<Run>): Run[] =>
	z.array(z.intersection(runSchema, z.object({cause: z.string()}))).parse(parse(readFileSync(new URL(`../../${fileName}`, import.meta.url), 'utf8')));

/** Plays the runs one after the other, all of them even if one fails, and ends the process. */
export const playRuns = async <Run>(runs: readonly Run[], {durationMs, play, log}: {
	durationMs: (run: Run) => number;
	/** Returns whether the run found nothing. */
	play: (run: Run) => Promise<boolean>;
	log: ProgramLog;
}): Promise<void> => runProgram({
	timeLimitMs: runs.reduce((sum, run) => sum + durationMs(run) + overheadMs, 0),
	log,
	async run() {
		let ok = true;
		for (const run of runs) {
			const held = await play(run);
			ok &&= held;
		}

		return ok;
	},
});
