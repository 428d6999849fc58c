#!/usr/bin/env node
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {pino} from 'pino';
import {type PlatformSettings, readPlatformSettings, startPlatform} from '../platform/index.js';

const {version} = JSON.parse(readFileSync(new URL('../../package.json', import.meta.url), 'utf8')) as {version: string};

/** Exit codes: 1 failed, 2 wrong usage or settings. */
const fail = (error: unknown, exitCode: 1 | 2): never => {
	process.stderr.write(`${JSON.stringify({level: 'error', message: error instanceof Error ? error.message : String(error)})}\n`);
	process.exit(exitCode);
};

const readArguments = (): PlatformSettings | undefined => {
	const cli = cac('dogwood-platform');
	cli.option('--settings <file>', 'YAML file with port, hosts and logLevel')
		.option('--port <port>', 'Port on 127.0.0.1; 0 takes a free one');
	cli.command('', 'Runs a stand-in of the platform until SIGTERM').action(() => undefined);
	cli.help();
	cli.version(version);
	const {options} = cli.parse(process.argv, {run: false});
	if (options.help === true || options.version === true) {
		return undefined;
	}

	cli.runMatchedCommand();
	const settings = readPlatformSettings(options.settings as string | undefined);
	const port = options.port === undefined ? settings.port : Number(options.port);
	if (!Number.isInteger(port) || port < 0 || port > 65_535) {
		throw new Error(`--port is ${options.port}; give a number from 0 to 65535.`);
	}

	return {...settings, port};
};

const run = async (settings: PlatformSettings): Promise<void> => {
	const logger = pino({name: 'dogwood-platform', level: settings.logLevel}, pino.destination({dest: 2, sync: true}));
	const platform = await startPlatform({...settings, logger});
	process.stdout.write(`${JSON.stringify({event: 'ready', address: platform.address})}\n`);
	await once(process, 'SIGTERM');
	logger.info('stops');
	await platform.close();
	process.exit(0);
};

const readArgumentsOrExit = (): PlatformSettings | undefined => {
	try {
		return readArguments();
	} catch (error) {
		return fail(error, 2);
	}
};

const settings = readArgumentsOrExit();
if (settings) {
	try {
		await run(settings);
	} catch (error) {
		fail(error, 1);
	}
}
