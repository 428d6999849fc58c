import {type TimerService} from '@dogwoodthread/coordination';
import {type EventFields, type EventLog, type EventName} from './definitions.js';

/** Writes a log line to its destination. */
export type LineSink = (level: 'info' | 'warn', line: EventFields) => void;

export type RateLimitedEventLogOptions = {
	timers: TimerService;
	sink: LineSink;
	/** Called once per window and event with the number of lines that were suppressed in the window. */
	onSuppressed?: (event: EventName, count: number) => void;
};

/** Limit for the lines of each event. When 30 services restart together, their lines stay below it. */
const maxLinesPerSecond = 50;
/** Longer texts are cut, in characters: names and messages of other programs may have any length. A stack trace fits. */
const maxTextLength = 1500;
/** One in this many served requests is logged. The request id decides, so that all hosts log the same requests. */
const requestsPerSample = 32;

const warningEvents: ReadonlySet<EventName> = new Set([
	'dependency-lost',
	'watch-lost',
	'store-restored',
	'store-object-rejected',
	'configuration-rejected',
	'endpoint-entry-rejected',
	'endpoint-unreachable',
	'leader-unknown',
	'clock-discontinuity',
	'request-refused',
	'request-failed',
	'forwarded-request-failed',
	'promotion-abandoned',
	'lease-rejected',
	'host-entry-rejected',
	'peer-message-rejected',
	'input-cut',
	'session-memory-refused',
	'unexpected-error',
]);

/** Whether a served request is in the logged sample. Failed requests are logged regardless. */
export const isSampled = (requestId: string): boolean => {
	const hash = [...requestId].reduce((sum, character) => ((sum * 31) + character.codePointAt(0)!) % 65_536, 7);
	return hash % requestsPerSample === 0;
};

const limitLength = (value: EventFields[string]): EventFields[string] => typeof value === 'string' && value.length > maxTextLength
	? `${value.slice(0, maxTextLength)}... (${value.length} characters)`
	: value;

/** Limits the lines of each event per second and the length of their texts, and logs how many lines it suppressed. */
export class RateLimitedEventLog implements EventLog {
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#lineCounts = new Map<EventName, number>();

	constructor(private readonly options: RateLimitedEventLogOptions) {}

	write(event: EventName, fields: EventFields): void {
		const nowMs = this.options.timers.nowMs();
		if (nowMs - this.#windowStartMs >= 1000) {
			this.#closeWindow();
			this.#windowStartMs = nowMs;
		}

		const count = (this.#lineCounts.get(event) ?? 0) + 1;
		this.#lineCounts.set(event, count);
		if (count <= maxLinesPerSecond) {
			this.options.sink(warningEvents.has(event) ? 'warn' : 'info', {
				event, monotonicMs: Math.round(nowMs), ...Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, limitLength(value)])),
			});
		}
	}

	#closeWindow(): void {
		for (const [event, count] of this.#lineCounts) {
			if (count > maxLinesPerSecond) {
				this.options.onSuppressed?.(event, count - maxLinesPerSecond);
				this.options.sink('warn', {event: 'lines-suppressed', of: event, count: count - maxLinesPerSecond});
			}
		}

		this.#lineCounts = new Map();
	}
}
