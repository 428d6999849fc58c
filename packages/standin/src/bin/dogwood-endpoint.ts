#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {pino} from 'pino';
import {parse as parseYaml} from 'yaml';
import {z} from 'zod';
import {endpointSettings, type EndpointSettingsInput, startEndpoint} from '../endpoint/index.js';

const wrongUsage = 2;
const failed = 1;
const log = pino({name: 'dogwood-endpoint'}, pino.destination(2));

const {version} = JSON.parse(readFileSync(new URL('../../package.json', import.meta.url), 'utf8')) as {version: string};

class UsageError extends Error {}

const readSettings = (file: string): EndpointSettingsInput => {
	try {
		const settings = parseYaml(readFileSync(file, 'utf8')) as EndpointSettingsInput;
		endpointSettings.parse(settings);
		return settings;
	} catch (error) {
		log.fatal({file}, error instanceof z.ZodError ? `Correct the settings: ${z.prettifyError(error)}` : String(error));
		return process.exit(wrongUsage);
	}
};

const run = async (file: string): Promise<void> => {
	const settings = readSettings(file);
	const endpoint = await startEndpoint(settings, log.child({database: settings.database, memberId: settings.memberId}));
	const {endpointAddress, replicationAddress, controlAddress} = endpoint;
	const stop = async () => {
		log.info('Stopping.');
		await endpoint.close();
		process.exit(0);
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	console.log(JSON.stringify({
		event: 'ready', endpointAddress, replicationAddress, controlAddress,
	}));
};

const main = async (): Promise<void> => {
	const cli = cac('dogwood-endpoint');
	cli.command('', 'Run one instance of a database group, in memory')
		.option('--settings <file>', 'YAML file with the settings (required)')
		.action(async ({settings}: {settings?: string}) => {
			if (settings === undefined) {
				throw new UsageError('Give the settings file: dogwood-endpoint --settings FILE');
			}

			await run(settings);
		});
	cli.help();
	cli.version(version);
	try {
		cli.parse(process.argv, {run: false});
		await cli.runMatchedCommand();
	} catch (error) {
		const isUsage = error instanceof UsageError || (error instanceof Error && error.name === 'CACError');
		log.fatal(isUsage ? error.message : {err: error, msg: 'The endpoint stopped.'});
		process.exit(isUsage ? wrongUsage : failed);
	}
};

await main();
