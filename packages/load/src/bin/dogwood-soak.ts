#!/usr/bin/env node
/** `dogwood-soak`: the fault soak of the daemon on the users' platform. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {cac} from 'cac';
import {z} from 'zod';
import {runSoak, type Violation} from '../soak/index.js';
import {exitWithUsageError, parseCommandLine} from './run-program.js';
import {createProgramLog, playRuns, readRegressions} from './seed-runs.js';

const maxHosts = 100;
const maxMinutes = 30;
/** Violations in the result line; the history has all of them. */
const shownViolations = 20;

const runSchema = z.object({
	seed: z.coerce.number().int(),
	minutes: z.coerce.number().positive().max(maxMinutes),
	hosts: z.coerce.number().int().min(1).max(maxHosts),
	restores: z.coerce.number().int().nonnegative().default(0),
});
const argumentsSchema = runSchema.extend({keepLogs: z.boolean().default(false), regressions: z.boolean().default(false)});

type SeedRun = z.infer<typeof runSchema>;

const log = createProgramLog();

const countKinds = (violations: readonly Violation[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {kind} of violations) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}

	return counts;
};

/** Prints one JSON line; gives whether everything held. */
const runSeed = async ({seed, minutes, hosts, restores}: SeedRun, keepLogs: boolean): Promise<boolean> => {
	const folder = await mkdtemp(path.join(tmpdir(), `dogwood-soak-${seed}-`));
	const report = await runSoak({
		seed, durationMs: minutes * 60_000, hosts, restores, folder, log,
	});
	const isKept = keepLogs || !report.ok;
	if (!isKept) {
		await rm(folder, {recursive: true});
	}

	const line = {
		...report, violations: report.violations.slice(0, shownViolations), violationCounts: countKinds(report.violations), folder: isKept ? folder : undefined,
	};
	process.stdout.write(`${JSON.stringify(line)}\n`);
	return report.ok;
};

const runSoaks = async (input: unknown): Promise<void> => {
	const parsed = argumentsSchema.safeParse(input);
	if (!parsed.success) {
		return exitWithUsageError(cli.name, z.prettifyError(parsed.error));
	}

	const {keepLogs, regressions, ...single} = parsed.data;
	const runs = regressions ? readRegressions('soak-seeds.yaml', runSchema) : [single];
	return playRuns<SeedRun>(runs, {
		durationMs: ({minutes}) => minutes * 60_000, play: async run => runSeed(run, keepLogs), log,
	});
};

const cli = cac('dogwood-soak');
cli.command('', 'Runs dogwood-pooler processes under random faults and checks what clients and instances saw')
	.option('--seed <number>', 'seed of the faults and the load', {default: 1})
	.option('--minutes <number>', 'time under faults', {default: 0.5})
	.option('--hosts <number>', 'number of dogwood-pooler processes', {default: 4})
	.option('--restores <number>', 'number of times that the store is restored from a copy', {default: 2})
	.option('--regressions', 'play the seeds that failed once instead (soak-seeds.yaml)')
	.option('--keep-logs', 'keep the folder with logs and settings even if everything held')
	.action(runSoaks);
parseCommandLine(cli);
