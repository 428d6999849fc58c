#!/usr/bin/env node
/**
 * `dogwood-proxy`: the proxy daemon, which runs on entry hosts. Prints its addresses as one JSON line once it accepts
 * connections; SIGTERM or SIGINT shuts it down gracefully, and a second signal ends it at once.
 */
import {readFile} from 'node:fs/promises';
import {cac} from 'cac';
import {destination, pino} from 'pino';
import {ProxyDaemon} from '../daemon/index.js';
import {
	loadSettings, proxySettingsSchema, type ProxySettings, renderSettingsReference,
} from '../settings/index.js';

const exitCodeFailure = 1;
const exitCodeUsage = 2;
const stderrFd = 2;

async function readSettings(file: string | undefined): Promise<ProxySettings> {
	if (!file) {
		process.stderr.write('Missing --settings FILE; see dogwood-proxy --help.\n');
		process.exit(exitCodeUsage);
	}

	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		process.stderr.write(`The settings cannot be read: ${String(error)}\n`);
		process.exit(exitCodeUsage);
	}

	const settings = loadSettings(text, proxySettingsSchema);
	if (settings.isErr()) {
		process.stderr.write(`${settings.error.message}\n${settings.error.mistakes.map(mistake => `  ${mistake}\n`).join('')}`);
		process.exit(exitCodeUsage);
	}

	return settings.value;
}

async function main(): Promise<void> {
	const cli = cac('dogwood-proxy');
	cli.option('--settings <file>', 'Settings in YAML');
	cli.option('--settings-reference', 'Print the reference of the settings in Markdown');
	cli.help();
	cli.version('0.1.0');
	const {options} = cli.parse();
	if (['help', 'version'].some(name => options[name] === true)) {
		return;
	}

	if (options.settingsReference === true) {
		process.stdout.write(renderSettingsReference());
		return;
	}

	const settings = await readSettings(options.settings as string | undefined);
	const logger = pino({level: settings.logLevel, base: {hostId: settings.hostId}}, destination(stderrFd));
	const daemon = new ProxyDaemon(settings, logger);
	let isStopping = false;
	const shutDown = async () => {
		if (isStopping) {
			process.exit(exitCodeFailure);
		}

		isStopping = true;
		await daemon.stop();
		process.exit(0);
	};

	// The process goes on, since it serves many other callers; each task reports the errors that it expects by itself.
	const reportUnexpectedError = (error: unknown) => {
		logger.error({event: 'unexpected-error', err: error}, 'Unexpected error; report it with its stack');
	};

	process.on('uncaughtException', reportUnexpectedError);
	process.on('unhandledRejection', reportUnexpectedError);
	process.on('SIGTERM', () => {
		void shutDown();
	});
	process.on('SIGINT', () => {
		void shutDown();
	});
	try {
		const addresses = await daemon.start();
		process.stdout.write(`${JSON.stringify({event: 'ready', ...addresses})}\n`);
	} catch (error) {
		logger.fatal({event: 'start-failed', err: error}, 'The proxy cannot start');
		process.exit(exitCodeFailure);
	}
}

await main();
