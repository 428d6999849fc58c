#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import {pino} from 'pino';
import {createConnector, runCli} from '../cli/index.js';
import {commands} from '../commands/index.js';

const {version} = JSON.parse(readFileSync(new URL('../../package.json', import.meta.url), 'utf8')) as {version: string};
const logger = pino({name: 'dogwoodctl'}, pino.destination({dest: 2, sync: true}));

process.exitCode = await runCli(process.argv, {
	commands,
	version,
	logger,
	write(text) {
		process.stdout.write(text);
	},
	connect: createConnector(logger),
});
