#!/usr/bin/env node
import {SystemTimerService} from '@dogwoodthread/coordination';
import {cac} from 'cac';
import {deploymentPlans} from '../deployment/index.js';
import {FailoverScenario, ScenarioRun, type RunResult} from '../scenario/index.js';
import {parseCommandLine, runProgram} from './run-program.js';

/** Long enough for a promotion (at most 3 s at this size) in the middle of the load. */
const durationMs = 10_000;

const ratePerSecond = 60;

/** The demo must never take longer, whatever goes wrong. */
const timeLimitMs = 55_000;

const startMs = performance.now();

const log = (message: string): void => {
	process.stderr.write(`[${((performance.now() - startMs) / 1000).toFixed(1).padStart(5)} s] ${message}\n`);
};

const printResult = ({report, violations}: RunResult): void => {
	const {
		acknowledgedWrites, lostWrites, doubledWrites, alteredWrites, staleSessionReads, falseNotRun, unknownOutcomes, replicaReadShare, writeGapMs, historyViolations: harms,
	} = report;
	for (const harm of harms.slice(0, 10)) {
		log(`${harm.kind}: ${harm.detail}`);
	}

	for (const violation of violations) {
		log(`violated: ${violation}`);
	}

	process.stdout.write(`${JSON.stringify({
		acknowledgedWrites, lostWrites, doubledWrites, alteredWrites, staleSessionReads, falseNotRun, unknownOutcomes, replicaReadShare, writeGapMs,
	})}\n`);
};

const runDemo = async (seed: number): Promise<boolean> => {
	const run = new ScenarioRun({
		scenario: new FailoverScenario(), plan: deploymentPlans.demo, seed, durationMs, ratePerSecond, scenarioOptions: {}, keepsLogs: false, timers: new SystemTimerService(), log,
	});
	const result = await run.run();
	printResult(result);
	return result.ok;
};

const cli = cac('dogwood-demo');
cli.command('', 'Loads a small deployment, kills the primary in the middle and checks that nothing was lost')
	.option('--seed <number>', 'seed of the random choices', {default: 1})
	.action(async ({seed}: {seed: number}) => runProgram({timeLimitMs, log, run: async () => runDemo(Number(seed))}));
parseCommandLine(cli);
