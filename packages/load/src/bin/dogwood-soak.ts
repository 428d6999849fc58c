#!/usr/bin/env node
/** `dogwood-soak`: the fault soak of the daemon on the users' platform. */
import {readFileSync} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {cac} from 'cac';
import pino from 'pino';
import {parse} from 'yaml';
import {z} from 'zod';
import {runSoak, type Violation} from '../soak/index.js';
import {exitWithUsageError, parseCommandLine, runProgram} from './run-program.js';

const maxHosts = 100;
const maxMinutes = 30;
/** Start, recovery and checks of one seed, in ms. */
const overheadMs = 120_000;
/** Violations in the result line; the history has all of them. */
const shownViolations = 20;

const runSchema = z.object({
	seed: z.coerce.number().int(),
	minutes: z.coerce.number().positive().max(maxMinutes),
	hosts: z.coerce.number().int().min(1).max(maxHosts),
	restores: z.coerce.number().int().nonnegative().default(0),
});
const argumentsSchema = runSchema.extend({keepLogs: z.boolean().default(false), regressions: z.boolean().default(false)});
const regressionsSchema = z.array(runSchema.extend({cause: z.string()}));

type SeedRun = z.infer<typeof runSchema>;

const logger = pino({base: undefined}, pino.destination({fd: 2, sync: true}));
const log = (message: string, fields: Record<string, unknown> = {}): void => {
	logger.info(fields, message);
};

/** Runs that failed once, each with its cause. */
const readRegressions = (): SeedRun[] =>
	regressionsSchema.parse(parse(readFileSync(new URL('../../soak-seeds.yaml', import.meta.url), 'utf8')));

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
	const runs = regressions ? readRegressions() : [single];
	return runProgram({
		timeLimitMs: runs.reduce((sum, {minutes}) => sum + (minutes * 60_000) + overheadMs, 0),
		log,
		async run() {
			let ok = true;
			for (const run of runs) {
				const held = await runSeed(run, keepLogs);
				ok &&= held;
			}

			return ok;
		},
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
