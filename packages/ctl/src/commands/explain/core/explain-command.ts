import {type Command, UsageError} from '../../../cli/index.js';
import {explainRequest} from '../domain/explain-request.js';
import {parseLogLines} from '../domain/log-lines.js';

/** Explains from the logs of several hosts how a request ended. */
export const explainCommand: Command = {
	usage: 'explain <request> [...files]',
	description: 'Join the log lines of all hosts on one request and name the cause; reads standard input without files',
	options: [],
	async run({args, readFile, print}) {
		const [requestId, ...files] = args.flatMap(argument => argument.split(','));
		if (!requestId) {
			throw new UsageError('Give the id of a request; see --help.');
		}

		const {lines, damaged} = parseLogLines((files.length > 0 ? files : ['-']).map(file => readFile(file)).join('\n'));
		const explanation = explainRequest(lines, requestId);
		if (!explanation) {
			print({
				json: {
					event: 'not-found', requestId, lines: lines.length, damaged,
				},
				text: `No line names ${requestId} in ${lines.length} lines (${damaged} damaged). Served requests are sampled; give the logs of all hosts.`,
			});
			return 1;
		}

		for (const line of explanation.lines) {
			print({json: line, text: lineText(line)});
		}

		print({
			json: {
				event: 'cause', requestId, cause: explanation.cause, damaged,
			}, text: explanation.cause,
		});
		return 0;
	},
};

function lineText({time, hostId, event, monotonicMs, level, ...fields}: Record<string, unknown>): string {
	const shown = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
	return `${new Date(Number(time)).toISOString()} ${String(hostId)} +${String(monotonicMs)} ms ${String(event)} ${shown.join(' ')}`;
}
