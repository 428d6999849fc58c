import {
	type Command, type CommandContext, type ExitCode, UsageError,
} from '../../../cli/index.js';
import {findAbsences} from '../domain/explain-absence.js';
import {explainRequest} from '../domain/explain-request.js';
import {type LogLine, parseLogLines} from '../domain/log-lines.js';

type Span = {fromMs: number; toMs: number};

const failures: ReadonlySet<string> = new Set(['request-refused', 'request-failed', 'session-refused', 'client-left']);
/** Causes of absence that are listed at most. */
const maxAbsences = 20;

/** Explains from the logs of several hosts how a request ended. */
export const explainCommand: Command = {
	usage: 'explain [request] [...files]',
	description: 'Join the log lines of all hosts on one request, or on a database in a span of time, and name the cause; reads standard input without files',
	options: [
		['--database <name>', 'Explain each failed request of this database; all arguments are files then'],
		['--from <time>', 'Start of the span, as 2026-12-04T07:00:00Z; the clocks are those of the hosts'],
		['--to <time>', 'End of the span'],
	],
	async run(context) {
		const {args, options, readFile} = context;
		const database = options.text('database');
		const given = args.flatMap(argument => argument.split(','));
		const files = database === undefined ? given.slice(1) : given;
		if (database === undefined && given.length === 0) {
			throw new UsageError('Give the id of a request, or --database; see --help.');
		}

		const span = {fromMs: parseTime(options.text('from'), Number.NEGATIVE_INFINITY), toMs: parseTime(options.text('to'), Number.POSITIVE_INFINITY)};
		const {lines, damaged} = parseLogLines((files.length > 0 ? files : ['-']).map(file => readFile(file)).join('\n'));
		return database === undefined
			? explainOne(context, {lines, damaged, span}, given[0]!)
			: explainDatabase(context, {lines, damaged, span}, database);
	},
};

type Logs = {lines: LogLine[]; damaged: number; span: Span};

function explainOne(context: CommandContext, logs: Logs, requestId: string): ExitCode {
	const explanation = explainRequest(logs.lines, requestId);
	if (!explanation) {
		return explainAbsence(context, logs, requestId);
	}

	for (const line of explanation.lines) {
		context.print({json: line, text: lineText(line)});
	}

	context.print({
		json: {
			event: 'cause', requestId, cause: explanation.cause, damaged: logs.damaged,
		}, text: explanation.cause,
	});
	return 0;
}

function explainAbsence({print}: CommandContext, {lines, damaged, span}: Logs, requestId: string): ExitCode {
	const absences = findAbsences(lines, span);
	const found = absences.length === 0
		? 'No host ended abruptly, was suspended, cut off or left out lines in that time.'
		: 'It was served, or one of these kept it out:';
	print({
		json: {
			event: 'not-found', requestId, lines: lines.length, damaged, absences: absences.length,
		},
		text: `No line names ${requestId} in ${lines.length} lines (${damaged} damaged). Of the served requests one in 32 has a line; give the logs of all hosts. ${found}`,
	});
	for (const {text, ...json} of absences.slice(0, maxAbsences)) {
		print({json: {event: 'absence', ...json}, text: `  ${text}`});
	}

	if (absences.length > maxAbsences) {
		print({json: {event: 'more', count: absences.length - maxAbsences}, text: `  and ${absences.length - maxAbsences} more; narrow the time with --from and --to`});
	}

	return 1;
}

function explainDatabase({print}: CommandContext, {lines, damaged, span}: Logs, database: string): ExitCode {
	const failed = lines.filter(line => failures.has(line.event) && line.database === database && line.time >= span.fromMs && line.time <= span.toMs);
	for (const line of failed.toSorted((a, b) => a.time - b.time)) {
		const requestId = typeof line.requestId === 'string' ? line.requestId : undefined;
		const cause = (requestId && explainRequest(lines, requestId)?.cause) ?? `Refused at ${line.hostId}: ${String(line.code)}.`;
		print({
			json: {
				event: 'cause', time: line.time, requestId, cause,
			}, text: `${new Date(line.time).toISOString()} ${requestId ?? 'session'}: ${cause}`,
		});
	}

	print({
		json: {
			event: 'total', database, failed: failed.length, lines: lines.length, damaged,
		}, text: `${failed.length} failed requests of ${database} in ${lines.length} lines (${damaged} damaged).`,
	});
	return 0;
}

function parseTime(text: string | undefined, otherwise: number): number {
	const ms = text === undefined ? otherwise : Date.parse(text);
	if (Number.isNaN(ms)) {
		throw new UsageError(`'${text}' is no time; give it as 2026-12-04T07:00:00Z.`);
	}

	return ms;
}

function lineText({time, hostId, event, monotonicMs, level, ...fields}: Record<string, unknown>): string {
	const shown = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
	return `${new Date(Number(time)).toISOString()} ${String(hostId)} +${String(monotonicMs)} ms ${String(event)} ${shown.join(' ')}`;
}
