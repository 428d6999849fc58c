import {toInlineText} from '../../../cli/index.js';
import {type LogLine} from './log-lines.js';

export type Explanation = {
	requestId: string;
	/** The cause in one or two sentences. */
	cause: string;
	/** Lines of the request and the preceding state changes on its hosts, oldest first for each host. */
	lines: LogLine[];
};

/** State changes within this time before a line of the request may have affected it. */
const contextWindowMs = 6000;

const stateChangeEvents: ReadonlySet<string> = new Set([
	'leader-changed',
	'leader-unknown',
	'endpoint-unreachable',
	'endpoint-reachable',
	'endpoint-changed',
	'endpoint-gone',
	'promotion-deferred',
	'promotion-started',
	'promotion-finished',
	'promotion-abandoned',
	'dependency-lost',
	'dependency-restored',
	'clock-discontinuity',
	'connection-share-changed',
	'store-restored',
	'watch-lost',
	'watch-restored',
	'configuration-applied',
	'process-started',
	'process-stopping',
]);

const causeTexts: ReadonlyMap<string, string> = new Map(Object.entries({
	'leader-unknown': 'no primary was known for the whole time of the statement',
	'leader-stalled': 'the primary confirmed no writes and no replica answered, so nothing could be promoted',
	'leadership-unproven': 'no replica or store confirmed in time that the primary had not been replaced',
	'position-unknown': 'too few members answered to determine the position that a reader must have reached',
	'no-reader': 'no member had the position that the read must see, or none answered',
	'arrived-late': 'the statement took too long on its way to the host that holds the connections, which therefore did not run it',
	'endpoint-unreachable': 'the host could not open a connection to the instance, or got no answer from it, and no other host could serve either',
	'not-reachable': 'the host that holds the connections did not reach the instances, and no other one did',
	'no-connection': 'all connections that this host may hold were in use for longer than the statement had',
	'session-memory': 'the session would have kept more values and prepared statements than one session may; see `session-memory-refused`',
	'process-memory': 'the sessions of the host kept too many values and prepared statements; see `session-memory-refused`',
	'connection-lost': 'the connection to the instance or the holder ended before the answer',
	'endpoint-silent': 'the instance did not answer within the time of the statement',
	'endpoint-error': 'the instance refused or failed the statement',
	'preparation-refused': 'the instance refused a session value or a prepared statement of the session',
	'transaction-failed': 'an earlier statement of the transaction had failed',
	'idle-in-transaction': 'the client was idle in the transaction for longer than the configuration allows',
	'shutting-down': 'the host was stopping',
	interrupted: 'the host stopped while the instance was at work',
	'internal-error': 'an unexpected error at the host; see `unexpected-error` at the same time',
	'no-transaction': 'the client sent COMMIT or ROLLBACK without a transaction',
	'unknown-service': 'the configuration names a service without limits or instances',
	'unknown-statement': 'the session has no prepared statement of that name',
	malformed: 'the statement was not valid at that point',
	'unknown-database': 'the configuration in force had no route for the database',
}));

/** Joins the log lines of all hosts about one request; undefined if no line names it. */
export function explainRequest(allLines: readonly LogLine[], requestId: string): Explanation | undefined {
	const requestLines = allLines.filter(line => line.requestId === requestId || isOfSameTransaction(line, requestId));
	if (requestLines.length === 0) {
		return undefined;
	}

	const context = allLines.filter(line => stateChangeEvents.has(line.event) && requestLines.some(request => canHaveAffected(line, request)));
	const lines = [...requestLines, ...context].toSorted((a, b) => isSameIncarnation(a, b) ? a.monotonicMs - b.monotonicMs : a.time - b.time);
	// The line of the owner that ran a forwarded request is closer to the cause than the line of the forwarding host.
	const decisiveLine = requestLines.find(({event}) => event === 'forwarded-request-failed')
		?? requestLines.find(({reason, event}) => reason !== undefined && event !== 'request-retried')
		?? requestLines.find(({event}) => event === 'client-left')
		?? requestLines.find(({event}) => event === 'request-served')
		?? requestLines[0]!;
	return {requestId, cause: describeCause(decisiveLine, context), lines};
}

/** The log line of a failed statement lists the ids of all statements of its transaction. */
const isOfSameTransaction = ({transactionIds}: LogLine, requestId: string): boolean =>
	typeof transactionIds === 'string' && transactionIds.split(' ').includes(requestId);

const isSameIncarnation = (a: LogLine, b: LogLine): boolean => a.hostId === b.hostId && a.incarnation === b.incarnation;

/** Compares monotonic times within one process only, because the wall clocks of hosts differ and may step. */
const canHaveAffected = (change: LogLine, request: LogLine): boolean =>
	isSameIncarnation(change, request)
	&& change.monotonicMs <= request.monotonicMs
	&& request.monotonicMs - change.monotonicMs <= contextWindowMs
	&& (change.service === undefined || change.service === request.service);

function describeCause(line: LogLine, context: readonly LogLine[]): string {
	const {reason} = line;
	const host = toInlineText(line.hostId);
	if (line.event === 'client-left') {
		return `The client closed its connection to ${host} ${String(line.waitedMs)} ms after it had sent the statement, before there was an answer.${describeLatestChange(line, context)}`;
	}

	if (typeof reason !== 'string') {
		return `Served at ${host} after ${String(line.totalMs)} ms${describeStages(line)}.${describeLatestChange(line, context)}`;
	}

	const detail = typeof line.detail === 'string' ? ` (${toInlineText(line.detail)})` : '';
	return `Ended with ${toInlineText(String(line.code))} at ${host}: ${causeTexts.get(reason) ?? toInlineText(reason)}${detail}.${describeLatestChange(line, context)}`;
}

function describeLatestChange(line: LogLine, context: readonly LogLine[]): string {
	const latest = context.filter(change => isSameIncarnation(change, line)).toSorted((a, b) => a.monotonicMs - b.monotonicMs).at(-1);
	return latest ? ` Latest state change on this host: ${toInlineText(latest.event)} ${Math.round(line.monotonicMs - latest.monotonicMs)} ms earlier.` : '';
}

/** Describes where the time of a served statement was spent; the remainder is at the instance or the owner. */
function describeStages({positionMs = 0, connectionMs = 0, totalMs}: LogLine): string {
	const restMs = Number(totalMs) - Number(positionMs) - Number(connectionMs);
	return ` (${String(positionMs)} ms for the position to read at, ${String(connectionMs)} ms for a connection, ${restMs} ms at the instance or on the way)`;
}
