import {pino, type Logger} from 'pino';
import {type Command, UsageError} from '../../../cli/index.js';
import {runReport} from '../../../report/index.js';
import {DocumentObjectives} from './document-objectives.js';

const defaultLogger = (): Logger => pino({name: 'dogwoodctl'}, pino.destination({dest: 2, sync: true}));

/** Creates `dogwoodctl report`: burn of the service-level objectives, from the proxies' counters and the stored samples. */
export const createReportCommand = (createLogger: () => Logger = defaultLogger): Command => ({
	usage: 'report',
	description: 'Report the burn of the service-level objectives; needs --samples, and --platform or --objectives',
	options: [
		['--admin <addresses>', 'Admin addresses of the proxies to read, separated by commas; without it only stored samples are used'],
		['--samples <file>', 'JSON lines file that keeps the samples; new ones are appended'],
		['--objectives <file>', 'YAML file with the objectives; default: those of the governing document at --platform'],
		['--html <file>', 'Also write one self-contained HTML page'],
	],
	async run({options, platform, print}) {
		const objectives = options.text('objectives');
		const exitCode = await runReport({
			proxy: options.texts('admin'),
			samples: options.requiredText('samples'),
			objectives,
			objectivesSource: objectives === undefined ? new DocumentObjectives(platform()) : undefined,
			html: options.text('html'),
		}, createLogger(), (text, report) => {
			print({json: {event: 'report', ...report}, text});
		});
		if (exitCode === 2) {
			throw new UsageError('Correct the objectives, or give others with --objectives FILE.');
		}

		return exitCode === 0 ? 0 : 1;
	},
});
