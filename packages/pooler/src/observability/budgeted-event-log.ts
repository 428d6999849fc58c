import {type TimerService} from '@dogwoodthread/coordination';
import {type EventFields, type EventLog, type EventName} from './definitions.js';

/** Where lines go. */
export type LineSink = (level: 'info' | 'warn', line: EventFields) => void;

export type BudgetedEventLogOptions = {
	timers: TimerService;
	sink: LineSink;
	/** Called with the number of lines that were left out since the last call. */
	onSuppressed?: (event: EventName, count: number) => void;
};

/** Lines a second of one event; 30 services restarting together stay below it. */
const linesPerSecond = 50;
/** One of this many served requests is logged; chosen by its id, so that all hosts choose the same. */
const servedSampling = 32;

const warnings: ReadonlySet<EventName> = new Set([
	'dependency-lost',
	'watch-lost',
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
]);

/** Whether the lines of a served request are kept; requests that fail are always logged. */
export const isSampled = (requestId: string): boolean => {
	const hash = [...requestId].reduce((sum, character) => ((sum * 31) + character.codePointAt(0)!) % 65_536, 7);
	return hash % servedSampling === 0;
};

/** Writes at most a fixed number of lines of each event in each second, and says how many it left out. */
export class BudgetedEventLog implements EventLog {
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#counts = new Map<EventName, number>();

	constructor(private readonly options: BudgetedEventLogOptions) {}

	write(event: EventName, fields: EventFields): void {
		const nowMs = this.options.timers.nowMs();
		if (nowMs - this.#windowStartMs >= 1000) {
			this.#closeWindow();
			this.#windowStartMs = nowMs;
		}

		const count = (this.#counts.get(event) ?? 0) + 1;
		this.#counts.set(event, count);
		if (count <= linesPerSecond) {
			this.options.sink(warnings.has(event) ? 'warn' : 'info', {event, monotonicMs: Math.round(nowMs), ...fields});
		}
	}

	#closeWindow(): void {
		for (const [event, count] of this.#counts) {
			if (count > linesPerSecond) {
				this.options.onSuppressed?.(event, count - linesPerSecond);
				this.options.sink('warn', {event: 'lines-suppressed', of: event, count: count - linesPerSecond});
			}
		}

		this.#counts = new Map();
	}
}
