import {
	type Command, type CommandContext, type ExitCode, toFieldValue, toInlineText, UsageError,
} from '../../../cli/index.js';
import {findLogGaps} from '../domain/log-gaps.js';
import {explainRequest} from '../domain/explain-request.js';
import {type LogLine, parseLogLines} from '../domain/log-lines.js';

type TimeRange = {fromMs: number; toMs: number};

const failureEvents: ReadonlySet<string> = new Set(['request-refused', 'request-failed', 'session-refused', 'client-left']);
const maxListedGaps = 20;

/** Explains the outcome of a request from the logs of several hosts. */
export const explainCommand: Command = {
	usage: 'explain [request] [...files]',
	description: 'Join the log lines of all hosts on one request, or on a database in a range of time, and name the cause; reads standard input without files',
	options: [
		['--database <name>', 'Explain each failed request of this database; all arguments are files then'],
		['--from <time>', 'Start of the range, as 2026-12-04T07:00:00Z; the clocks are those of the hosts'],
		['--to <time>', 'End of the range'],
	],
	async run(context) {
		const {args, options, readFile} = context;
		const database = options.text('database');
		const files = database === undefined ? args.slice(1) : args;
		if (database === undefined && args.length === 0) {
			throw new UsageError('Give the id of a request, or --database; see --help.');
		}

		const range = {fromMs: parseTime(options.text('from'), Number.NEGATIVE_INFINITY), toMs: parseTime(options.text('to'), Number.POSITIVE_INFINITY)};
		const {lines, damaged} = parseLogLines((files.length > 0 ? files : ['-']).map(file => readFile(file)).join('\n'));
		return database === undefined
			? explainSingleRequest(context, {lines, damaged, range}, args[0]!)
			: explainDatabase(context, {lines, damaged, range}, database);
	},
};

type Logs = {lines: LogLine[]; damaged: number; range: TimeRange};

function explainSingleRequest(context: CommandContext, logs: Logs, requestId: string): ExitCode {
	const explanation = explainRequest(logs.lines, requestId);
	if (!explanation) {
		return explainMissingRequest(context, logs, requestId);
	}

	for (const line of explanation.lines) {
		context.print({json: line, text: formatLine(line)});
	}

	context.print({
		json: {
			event: 'cause', requestId, cause: explanation.cause, damaged: logs.damaged,
		}, text: explanation.cause,
	});
	return 0;
}

function explainMissingRequest({print}: CommandContext, {lines, damaged, range}: Logs, requestId: string): ExitCode {
	const gaps = findLogGaps(lines, range);
	const explanation = gaps.length === 0
		? 'No host ended abruptly, was suspended, cut off or left out lines in that time.'
		: 'It was served, or one of these kept it out:';
	print({
		json: {
			event: 'not-found', requestId, lines: lines.length, damaged, absences: gaps.length,
		},
		text: `No line names ${toInlineText(requestId)} in ${lines.length} lines (${damaged} damaged). Of the served requests one in 32 has a line; give the logs of all hosts. ${explanation}`,
	});
	for (const {text, ...json} of gaps.slice(0, maxListedGaps)) {
		print({json: {event: 'absence', ...json}, text: `  ${text}`});
	}

	if (gaps.length > maxListedGaps) {
		print({json: {event: 'more', count: gaps.length - maxListedGaps}, text: `  and ${gaps.length - maxListedGaps} more; narrow the time with --from and --to`});
	}

	return 1;
}

function explainDatabase({print}: CommandContext, {lines, damaged, range}: Logs, database: string): ExitCode {
	const failedLines = lines.filter(line => failureEvents.has(line.event) && line.database === database && line.time >= range.fromMs && line.time <= range.toMs);
	for (const line of failedLines.toSorted((a, b) => a.time - b.time)) {
		const requestId = typeof line.requestId === 'string' ? line.requestId : undefined;
		const cause = (requestId && explainRequest(lines, requestId)?.cause) ?? `Refused at ${toInlineText(line.hostId)}: ${toInlineText(String(line.code))}.`;
		print({
			json: {
				event: 'cause', time: line.time, requestId, cause,
			}, text: `${new Date(line.time).toISOString()} ${toInlineText(requestId ?? 'session')}: ${cause}`,
		});
	}

	print({
		json: {
			event: 'total', database, failed: failedLines.length, lines: lines.length, damaged,
		}, text: `${failedLines.length} failed requests of ${toInlineText(database)} in ${lines.length} lines (${damaged} damaged).`,
	});
	return 0;
}

function parseTime(text: string | undefined, fallbackMs: number): number {
	const ms = text === undefined ? fallbackMs : Date.parse(text);
	if (Number.isNaN(ms)) {
		throw new UsageError(`'${text}' is no time; give it as 2026-12-04T07:00:00Z.`);
	}

	return ms;
}

function formatLine({time, hostId, event, monotonicMs, level, ...fields}: Record<string, unknown>): string {
	const fieldTexts = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${toInlineText(name)}=${toFieldValue(value)}`);
	return `${new Date(Number(time)).toISOString()} ${toInlineText(String(hostId))} +${String(monotonicMs)} ms ${toInlineText(String(event))} ${fieldTexts.join(' ')}`;
}
