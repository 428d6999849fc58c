#!/usr/bin/env node
/** `dogwood-fuzz`: the fuzz run of the daemon on the users' platform. */
import {cac} from 'cac';
import {z} from 'zod';
import {fuzzPlayerNames, runFuzz, type FuzzReport} from '../fuzz/index.js';
import {exitWithUsageError, parseCommandLine} from './run-program.js';
import {createProgramLog, playRuns, readRegressions} from './seed-runs.js';

const maxSeconds = 3600;
/** Findings in the result; the counts cover all of them. */
const shownFindings = 20;

const runSchema = z.object({
	seed: z.coerce.number().int().min(0).max(1_000_000),
	seconds: z.coerce.number().positive().max(maxSeconds),
	only: z.preprocess(value => typeof value === 'string' ? value.split(',') : value, z.array(z.enum(fuzzPlayerNames as [string, ...string[]])).default([])),
});
const argumentsSchema = runSchema.extend({json: z.boolean().default(false), regressions: z.boolean().default(false)});

type SeedRun = z.infer<typeof runSchema>;

const log = createProgramLog();

const formatReport = ({seed, seconds, statements, served, peakMemoryMebibytes, findings, findingCounts, firstFoundSeconds}: FuzzReport): string => [
	`seed ${seed}: ${seconds} s, ${served} of ${statements} statements served, at most ${peakMemoryMebibytes} MiB a host, ${findings.length} findings`,
	...Object.entries(findingCounts).map(([kind, count]) => `  ${kind}: ${count}, the first after ${firstFoundSeconds[kind]} s`),
	...findings.slice(0, shownFindings).map(({kind, player, atMs, detail}) => `  ${atMs} ms ${kind} (${player}): ${detail}`),
].join('\n');

const play = async (run: SeedRun, isJson: boolean): Promise<boolean> => {
	const report = await runFuzz({
		seed: run.seed, durationMs: run.seconds * 1000, only: run.only, log,
	});
	process.stdout.write(`${isJson ? JSON.stringify({...report, findings: report.findings.slice(0, shownFindings)}) : formatReport(report)}\n`);
	return report.ok;
};

const runFuzzes = async (input: unknown): Promise<void> => {
	const parsed = argumentsSchema.safeParse(input);
	if (!parsed.success) {
		return exitWithUsageError(cli.name, z.prettifyError(parsed.error));
	}

	const {json, regressions, ...single} = parsed.data;
	const runs = regressions ? readRegressions('fuzz-seeds.yaml', runSchema) : [single];
	return playRuns<SeedRun>(runs, {
		durationMs: ({seconds}) => seconds * 1000, play: async run => play(run, json), log,
	});
};

const cli = cac('dogwood-fuzz');
cli.command('', 'Plays generated text, any bytes and odd answers against dogwood-pooler processes')
	.option('--seed <number>', 'seed of what is played', {default: 1})
	.option('--seconds <number>', 'time in which players start', {default: 60})
	.option('--only <players>', `players, separated by commas, of: ${fuzzPlayerNames.join(', ')}`)
	.option('--regressions', 'play the seeds that failed once instead (fuzz-seeds.yaml)')
	.option('--json', 'print one JSON line for each seed')
	.action(runFuzzes);
parseCommandLine(cli);
