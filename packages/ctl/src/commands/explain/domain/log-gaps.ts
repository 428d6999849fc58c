import {toInlineText} from '../../../cli/index.js';
import {type LogLine} from './log-lines.js';

/** A possible reason why a request has no line in the logs. */
export type LogGap = {
	kind: 'ended-abruptly' | 'suspended' | 'lines-lost' | 'cut-off';
	hostId: string;
	/** Time of day at the host, Unix time in ms. */
	fromMs: number;
	untilMs: number | undefined;
	text: string;
};

/** A daemon with clients logs more often than this, so a longer silence at the end of its log is a gap. */
const silenceThresholdMs = 10_000;

const formatTime = (ms: number): string => new Date(ms).toISOString();

/**
 * Finds gaps in the logs, oldest first. A request without a log line was either served and not sampled, or its host
 * could not log it: the process ended without a shutdown, was suspended or cut off, or its lines were suppressed.
 */
export function findLogGaps(lines: readonly LogLine[], range: {fromMs: number; toMs: number}): LogGap[] {
	return [...findAbruptRestarts(lines), ...findSilentHosts(lines), ...lines.flatMap(line => findGapsOfLine(line))]
		.filter(({fromMs, untilMs}) => fromMs <= range.toMs && (untilMs ?? fromMs) >= range.fromMs)
		.toSorted((a, b) => a.fromMs - b.fromMs);
}

/** Finds restarts of a host whose previous process logged no shutdown. */
function findAbruptRestarts(lines: readonly LogLine[]): LogGap[] {
	const starts = lines.filter(({event}) => event === 'process-started');
	return starts.flatMap(start => {
		const earlierLines = lines.filter(({hostId, incarnation, time}) => hostId === start.hostId && incarnation !== start.incarnation && time <= start.time);
		const last = earlierLines.toSorted((a, b) => a.time - b.time).at(-1);
		const hasStopped = earlierLines.some(({event, incarnation}) => event === 'process-stopped' && incarnation === last?.incarnation);
		return last && !hasStopped
			? [{
				kind: 'ended-abruptly' as const, hostId: start.hostId, fromMs: last.time, untilMs: start.time,
				text: `${toInlineText(start.hostId)} ended without a stop after ${formatTime(last.time)} and was back at ${formatTime(start.time)}: what it was running then has no line.`,
			}]
			: [];
	});
}

/** Finds hosts whose log ends long before the others without a shutdown: the host was lost, or its log is incomplete. */
function findSilentHosts(lines: readonly LogLine[]): LogGap[] {
	const newestMs = lines.toSorted((a, b) => a.time - b.time).at(-1)?.time ?? 0;
	return [...new Set(lines.map(({hostId}) => hostId))].flatMap(hostId => {
		const last = lines.filter(line => line.hostId === hostId).toSorted((a, b) => a.time - b.time).at(-1)!;
		return last.event !== 'process-stopped' && newestMs - last.time > silenceThresholdMs
			? [{
				kind: 'ended-abruptly' as const, hostId, fromMs: last.time, untilMs: newestMs,
				text: `${toInlineText(hostId)} has no line after ${formatTime(last.time)}, without a stop: it was lost, or its log is not complete.`,
			}]
			: [];
	});
}

function findGapsOfLine(line: LogLine): LogGap[] {
	const {event, hostId, time} = line;
	if (event === 'clock-discontinuity') {
		const jumpMs = Number(line.jumpMs);
		return [{
			kind: 'suspended', hostId, fromMs: time - Math.abs(jumpMs), untilMs: time,
			text: `${toInlineText(hostId)} was suspended, or its time of day stepped, by ${jumpMs} ms until ${formatTime(time)}.`,
		}];
	}

	if (event === 'lines-suppressed' || event === 'log-lines-dropped') {
		return [{
			kind: 'lines-lost', hostId, fromMs: time - 1000, untilMs: time,
			text: `${toInlineText(hostId)} left out ${String(line.count)} lines (${typeof line.of === 'string' ? toInlineText(line.of) : 'any event'}) until ${formatTime(time)}.`,
		}];
	}

	return event === 'dependency-lost'
		? [{
			kind: 'cut-off', hostId, fromMs: time, untilMs: undefined, text: `${toInlineText(hostId)} lost ${toInlineText(String(line.dependency))} at ${formatTime(time)} (${toInlineText(String(line.reason))}); its clients may not have reached it either.`,
		}]
		: [];
}
