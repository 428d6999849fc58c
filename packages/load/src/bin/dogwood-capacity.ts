#!/usr/bin/env node
import {cac} from 'cac';
import pino from 'pino';
import {
	createMeasurements, formatTable, type Measurement, type MeasurementResult, runMeasurement,
} from '../capacity/index.js';

const version = '0.1.0';
const logger = pino({name: 'dogwood-capacity'}, pino.destination({dest: 2, sync: true}));

const selectMeasurements = (seed: number, only: string | undefined): Measurement[] =>
	createMeasurements(seed).filter(({name}) => only === undefined || name.includes(only));

const runAll = async (measurements: readonly Measurement[]): Promise<MeasurementResult[]> => {
	const results = [];
	for (const measurement of measurements) {
		results.push(await runMeasurement(measurement, (size, value) => {
			logger.info({measurement: measurement.name, size, value}, 'Measured');
		}));
	}

	return results;
};

/** Throws on unknown options. */
const parseArguments = () => {
	const cli = cac('dogwood-capacity');
	cli.command('', 'Measure what each part costs against its size; prints JSON, then a table')
		.option('--only <text>', 'Run only measurements whose name contains the text')
		.option('--seed <number>', 'Seed of the random numbers', {default: 1})
		.option('--json', 'Print only the JSON');
	cli.help();
	cli.version(version);
	const parsed = cli.parse(process.argv, {run: false});
	cli.matchedCommand?.checkUnknownOptions();
	return parsed;
};

const tryParseArguments = () => {
	try {
		return parseArguments();
	} catch (error) {
		logger.error({err: error}, 'Wrong usage; see --help.');
		return undefined;
	}
};

const main = async (): Promise<number> => {
	const options = tryParseArguments()?.options;
	if (!options) {
		return 2;
	}

	if ([options.help, options.version].includes(true)) {
		return 0;
	}

	const seed = Number(options.seed);
	const measurements = selectMeasurements(seed, options.only as string | undefined);
	if (!Number.isSafeInteger(seed) || measurements.length === 0) {
		logger.error({seed: options.seed, only: options.only}, 'No measurement fits, or the seed is no integer; see --help.');
		return 2;
	}

	const results = await runAll(measurements);
	process.stdout.write(`${JSON.stringify({seed, node: process.version, results}, undefined, '\t')}\n`);
	if (!options.json) {
		process.stdout.write(`\n${formatTable(results)}\n`);
	}

	return 0;
};

process.once('SIGTERM', () => {
	// Only measurements run; there is nothing to finish.
	process.exit(0);
});

try {
	process.exitCode = await main();
} catch (error) {
	logger.error({err: error}, 'A measurement failed');
	process.exitCode = 1;
}
