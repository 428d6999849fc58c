import {type LogLine} from './log-lines.js';

export type Explanation = {
	requestId: string;
	/** One sentence on the cause. */
	cause: string;
	/** Lines of the request, and the beliefs of its hosts in the time before, oldest first for each host. */
	lines: LogLine[];
};

/** Changes of belief this long before a request's line may have decided it, in ms. */
const contextMs = 6000;

const beliefEvents: ReadonlySet<string> = new Set([
	'leader-changed',
	'leader-unknown',
	'endpoint-unreachable',
	'endpoint-reachable',
	'endpoint-changed',
	'endpoint-gone',
	'promotion-started',
	'promotion-finished',
	'promotion-abandoned',
	'dependency-lost',
	'dependency-restored',
	'clock-discontinuity',
	'connection-share-changed',
	'watch-lost',
	'watch-restored',
	'configuration-applied',
	'process-started',
	'process-stopping',
]);

const causes: Record<string, string> = {
	'leader-unknown': 'no primary was known for the whole time of the statement',
	'leader-stalled': 'the primary confirmed no writes and no replica answered, so nothing could be promoted',
	'leadership-unproven': 'no replica or store confirmed in time that the primary had not been replaced',
	'position-unknown': 'too few members answered to know how far a reader must be',
	'no-reader': 'no member had the position that the read must see, or none answered',
	'arrived-late': 'the statement took too long on its way to the host that holds the connections, which therefore did not run it',
	'no-connection': 'all connections that this host may hold were in use for longer than the statement had',
	'connection-lost': 'the connection to the instance or the holder ended before the answer',
	'endpoint-silent': 'the instance did not answer within the time of the statement',
	'endpoint-error': 'the instance refused or failed the statement',
	'transaction-failed': 'an earlier statement of the transaction had failed',
	'idle-in-transaction': 'the client rested in the transaction for longer than the configuration allows',
	'shutting-down': 'the host was stopping',
	'no-transaction': 'the client sent COMMIT or ROLLBACK without a transaction',
	'unknown-service': 'the configuration names a service without limits or instances',
	'unknown-statement': 'the session has no prepared statement of that name',
	malformed: 'the statement was not valid at that point',
	'unknown-database': 'the configuration in force had no route for the database',
};

/** Joins the lines of all hosts on one request; undefined if none names it. */
export function explainRequest(all: readonly LogLine[], requestId: string): Explanation | undefined {
	const own = all.filter(line => line.requestId === requestId || isOfSameTransaction(line, requestId));
	if (own.length === 0) {
		return undefined;
	}

	const context = all.filter(line => beliefEvents.has(line.event) && own.some(request => mayHaveDecided(line, request)));
	const lines = [...own, ...context].toSorted((a, b) => isSameLife(a, b) ? a.monotonicMs - b.monotonicMs : a.time - b.time);
	// A holder's own line is closer to the cause than that of the host which forwarded the request to it.
	const decisive = own.find(({event}) => event === 'forwarded-request-failed')
		?? own.find(({reason, event}) => reason !== undefined && event !== 'request-retried')
		?? own.find(({event}) => event === 'client-left')
		?? own.find(({event}) => event === 'request-served')
		?? own[0]!;
	return {requestId, cause: causeOf(decisive, context), lines};
}

/** A failed statement names the others of its transaction. */
const isOfSameTransaction = ({transactionIds}: LogLine, requestId: string): boolean =>
	typeof transactionIds === 'string' && transactionIds.split(' ').includes(requestId);

const isSameLife = (a: LogLine, b: LogLine): boolean => a.hostId === b.hostId && a.incarnation === b.incarnation;

/** Compares times of one process only, since the clocks of hosts differ and may step. */
const mayHaveDecided = (belief: LogLine, request: LogLine): boolean =>
	isSameLife(belief, request)
	&& belief.monotonicMs <= request.monotonicMs
	&& request.monotonicMs - belief.monotonicMs <= contextMs
	&& (belief.service === undefined || belief.service === request.service);

function causeOf(line: LogLine, context: readonly LogLine[]): string {
	const {reason} = line;
	if (line.event === 'client-left') {
		return `The client closed its connection to ${line.hostId} ${String(line.waitedMs)} ms after it had sent the statement, before there was an answer.${latestChange(line, context)}`;
	}

	if (typeof reason !== 'string') {
		return `Served at ${line.hostId} after ${String(line.totalMs)} ms${stagesOf(line)}.${latestChange(line, context)}`;
	}

	const detail = typeof line.detail === 'string' ? ` (${line.detail})` : '';
	return `Ended with ${String(line.code)} at ${line.hostId}: ${causes[reason] ?? reason}${detail}.${latestChange(line, context)}`;
}

function latestChange(line: LogLine, context: readonly LogLine[]): string {
	const latest = context.filter(belief => isSameLife(belief, line)).toSorted((a, b) => a.monotonicMs - b.monotonicMs).at(-1);
	return latest ? ` Latest change of belief there: ${latest.event} ${Math.round(line.monotonicMs - latest.monotonicMs)} ms earlier.` : '';
}

/** Where the time of a served statement went; the rest was spent at the instance or at the holder. */
function stagesOf({positionMs = 0, connectionMs = 0, totalMs}: LogLine): string {
	const restMs = Number(totalMs) - Number(positionMs) - Number(connectionMs);
	return ` (${String(positionMs)} ms for the position to read at, ${String(connectionMs)} ms for a connection, ${restMs} ms at the instance or on the way)`;
}
