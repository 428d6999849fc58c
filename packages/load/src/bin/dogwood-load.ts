#!/usr/bin/env node
import {SystemTimerService} from '@dogwoodthread/coordination';
import {cac} from 'cac';
import pino from 'pino';
import {z} from 'zod';
import {deploymentPlans, type AdmissionPolicy} from '../deployment/index.js';
import {
	createScenarios, ScenarioRun, type RunOptions, type RunResult, type Scenario,
} from '../scenario/index.js';
import {exitWithUsageError, parseCommandLine, runProgram} from './run-program.js';

/** Start, last answers and checks take less than this beyond the load itself; a scenario may run twice. */
const overheadLimitMs = 90_000;

const maxSeconds = 300;

/** Each process takes about 80 MB. */
const maxProxies = 100;

const scenarios = createScenarios();

const argumentsSchema = z.object({
	scenario: z.enum(scenarios.map(({name}) => name) as [string, ...string[]]),
	seed: z.coerce.number().int(),
	json: z.boolean().default(false),
	keepLogs: z.boolean().default(false),
	policy: z.enum(['fair', 'fifo']),
	deployment: z.enum(['kiambu', 'molde']),
	seconds: z.coerce.number().positive().max(maxSeconds),
	rate: z.coerce.number().positive().max(5000),
	proxies: z.coerce.number().int().min(1).max(maxProxies),
	applyLagMs: z.coerce.number().int().min(0).optional(),
});

type Arguments = z.infer<typeof argumentsSchema>;

const logger = pino({base: undefined}, pino.destination({fd: 2, sync: true}));

const log = (message: string, fields: Record<string, unknown> = {}): void => {
	logger.info(fields, message);
};

const findScenario = (name: string): Scenario => {
	const scenario = scenarios.find(each => each.name === name);
	if (!scenario) {
		throw new Error(`There is no scenario ${name}.`);
	}

	return scenario;
};

const createRunOptions = (options: Arguments, scenario: Scenario, policy: AdmissionPolicy): RunOptions => ({
	scenario,
	plan: {...deploymentPlans[options.deployment], policy, proxies: options.proxies},
	seed: options.seed,
	durationMs: options.seconds * 1000,
	ratePerSecond: options.rate,
	scenarioOptions: {applyLagMs: options.applyLagMs},
	keepsLogs: options.keepLogs,
	timers: new SystemTimerService(),
	log,
});

/** The same scenario, seed and size with first-in-first-out admission, for ratios within one run. */
const runBaseline = async (options: Arguments, scenario: Scenario, result: RunResult): Promise<Record<string, unknown>> => {
	if (!scenario.compare || options.policy === 'fifo') {
		return {};
	}

	log('the same again with first-in-first-out admission');
	const baseline = await new ScenarioRun(createRunOptions(options, scenario, 'fifo')).run();
	return {baseline: baseline.figures, ...scenario.compare(result, baseline)};
};

const printResult = (options: Arguments, {ok, report, workload, figures, violations}: RunResult, comparison: Record<string, unknown>): void => {
	const {historyViolations: harms, ...counts} = report;
	for (const harm of harms.slice(0, 20)) {
		logger.error(harm, 'harm');
	}

	if (!options.json) {
		process.stdout.write(`${options.scenario}: ${ok ? 'held' : `violated: ${violations.join('; ')}`}\n`);
		for (const [name, value] of Object.entries({...counts, ...figures, ...comparison})) {
			process.stdout.write(`  ${name}: ${JSON.stringify(value)}\n`);
		}
	}

	process.stdout.write(`${JSON.stringify({
		...options, json: undefined, ...counts, ...figures, ...comparison, ...workload, violations, ok,
	})}\n`);
};

const runLoad = async (input: unknown): Promise<void> => {
	const parsed = argumentsSchema.safeParse(input);
	if (!parsed.success) {
		return exitWithUsageError(cli.name, z.prettifyError(parsed.error));
	}

	const options = parsed.data;
	return runProgram({
		timeLimitMs: 2 * ((options.seconds * 1000) + overheadLimitMs),
		log,
		async run() {
			const scenario = findScenario(options.scenario);
			const result = await new ScenarioRun(createRunOptions(options, scenario, options.policy)).run();
			printResult(options, result, await runBaseline(options, scenario, result));
			return result.ok;
		},
	});
};

const cli = cac('dogwood-load');
cli.command('<scenario>', `Runs a scenario and checks the history:\n${scenarios.map(({name, summary}) => `    ${name.padEnd(16)} ${summary}`).join('\n')}`)
	.option('--seed <number>', 'seed of the random choices', {default: 1})
	.option('--json', 'print only the JSON line')
	.option('--keep-logs', 'keep the logs of all processes even if everything held')
	.option('--policy <policy>', 'admission policy of the proxies: fair or fifo', {default: 'fair'})
	.option('--deployment <name>', 'size: kiambu or molde', {default: 'kiambu'})
	.option('--seconds <number>', 'how long the load runs', {default: 20})
	.option('--rate <number>', 'requests a second', {default: 120})
	.option('--proxies <number>', 'number of proxies', {default: 4})
	.option('--apply-lag-ms <number>', 'steady: apply lag of one replica of each group')
	.action(async (scenario: string, options: Record<string, unknown>) => runLoad({...options, scenario}));
parseCommandLine(cli);
