#!/usr/bin/env node
/** `dogwood-soak`: the fault soak of the daemon on the users' platform. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {cac} from 'cac';
import pino from 'pino';
import {z} from 'zod';
import {runSoak, type Violation} from '../soak/index.js';
import {exitWithUsageError, parseCommandLine, runProgram} from './run-program.js';

const maxHosts = 100;
const maxMinutes = 30;
/** Start, recovery and checks, in ms. */
const overheadMs = 120_000;
/** Violations in the result line; the history has all of them. */
const shownViolations = 20;

const argumentsSchema = z.object({
	seed: z.coerce.number().int(),
	minutes: z.coerce.number().positive().max(maxMinutes),
	hosts: z.coerce.number().int().min(1).max(maxHosts),
	keepLogs: z.boolean().default(false),
});

const logger = pino({base: undefined}, pino.destination({fd: 2, sync: true}));
const log = (message: string, fields: Record<string, unknown> = {}): void => {
	logger.info(fields, message);
};

const countKinds = (violations: readonly Violation[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {kind} of violations) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}

	return counts;
};

const runSeed = async (input: unknown): Promise<void> => {
	const parsed = argumentsSchema.safeParse(input);
	if (!parsed.success) {
		return exitWithUsageError(cli.name, z.prettifyError(parsed.error));
	}

	const {seed, minutes, hosts, keepLogs} = parsed.data;
	const durationMs = minutes * 60_000;
	return runProgram({
		timeLimitMs: durationMs + overheadMs,
		log,
		async run() {
			const folder = await mkdtemp(path.join(tmpdir(), `dogwood-soak-${seed}-`));
			const report = await runSoak({
				seed, durationMs, hosts, folder, log,
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
		},
	});
};

const cli = cac('dogwood-soak');
cli.command('', 'Runs dogwood-pooler processes under random faults and checks what clients and instances saw')
	.option('--seed <number>', 'seed of the faults and the load', {default: 1})
	.option('--minutes <number>', 'time under faults', {default: 0.5})
	.option('--hosts <number>', 'number of dogwood-pooler processes', {default: 4})
	.option('--keep-logs', 'keep the folder with logs and settings even if everything held')
	.action(runSeed);
parseCommandLine(cli);
