import {pino} from 'pino';
import {test} from 'tap';
import {type Command} from '../../src/cli/index.js';
import {createConnector, runCli} from '../../src/index.js';

const readArguments = async (...args: string[]) => {
	const logger = pino({level: 'silent'});
	const seen: unknown[] = [];
	const command: Command = {
		usage: 'show [name] [...files]',
		description: 'Collects its arguments',
		options: [['--change-id <id>', 'Id'], ['--admin <list>', 'List'], ['--limit <n>', 'Number']],
		async run({args: names, options}) {
			seen.push({
				names, id: options.text('changeId'), lists: options.texts('admin'), limit: options.wholeNumber('limit'),
			});
			return 0;
		},
	};
	const code = await runCli(['node', 'dogwoodctl', 'show', ...args], {
		commands: [command], version: '0.0.0', logger, write: () => undefined, connect: createConnector(logger),
	});
	return {code, seen};
};

// Guards against two change ids, databases or hosts that are one, because their names are read as numbers.
test('arguments that look like numbers are the texts that were given', async t => {
	for (const text of ['007', '1e3', '0x10', '12345678901234567890', '1.0', '+1', ' 1 ', 'a=1']) {
		t.same(await readArguments(text, '--change-id', text, '--admin', text), {
			code: 0, seen: [{
				names: [text], id: text, lists: [text], limit: undefined,
			}],
		}, `apart: ${text}`);
		t.match(await readArguments(`--change-id=${text}`), {code: 0, seen: [{id: text}]}, `joined: ${text}`);
	}

	t.match(await readArguments('--limit', '20', '--admin', '1', '--admin', '02'), {seen: [{limit: 20, lists: ['1', '02']}]});
	t.match(await readArguments('--limit', '1e1'), {code: 2, seen: []});
});
