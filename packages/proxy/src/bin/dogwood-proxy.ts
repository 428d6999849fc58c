#!/usr/bin/env node
/**
 * `dogwood-proxy`: the daemon on entry hosts. Prints its addresses as one JSON line when it listens.
 */
import {readFile} from 'node:fs/promises';
import {cac} from 'cac';
import {destination, pino} from 'pino';
import {ProxyDaemon} from '../daemon/index.js';
import {
	loadSettings, proxySettingsSchema, type ProxySettings, settingsReference,
} from '../settings/index.js';

const exitFailed = 1;
const exitUsage = 2;
const stderr = 2;

async function readSettings(file: string | undefined): Promise<ProxySettings> {
	if (!file) {
		process.stderr.write('Missing --settings FILE; see dogwood-proxy --help.\n');
		process.exit(exitUsage);
	}

	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		process.stderr.write(`The settings cannot be read: ${String(error)}\n`);
		process.exit(exitUsage);
	}

	const settings = loadSettings(text, proxySettingsSchema);
	if (settings.isErr()) {
		process.stderr.write(`${settings.error.message}\n${settings.error.mistakes.map(mistake => `  ${mistake}\n`).join('')}`);
		process.exit(exitUsage);
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
		process.stdout.write(settingsReference());
		return;
	}

	const settings = await readSettings(options.settings as string | undefined);
	const logger = pino({level: settings.logLevel, base: {hostId: settings.hostId}}, destination(stderr));
	const daemon = new ProxyDaemon(settings, logger);
	let stopping = false;
	const onSignal = async () => {
		if (stopping) {
			process.exit(exitFailed);
		}

		stopping = true;
		await daemon.stop();
		process.exit(0);
	};

	process.on('SIGTERM', () => {
		void onSignal();
	});
	process.on('SIGINT', () => {
		void onSignal();
	});
	const addresses = await daemon.start();
	process.stdout.write(`${JSON.stringify({event: 'ready', ...addresses})}\n`);
}

await main();
