import {type TimerService} from '@dogwoodthread/coordination';
import {
	type LogEntry, type Position, type PullAnswer, type ReplicationTransport,
} from '../definitions.js';
import {DelayLine} from './delay-line.js';
import {type Faults} from './faults.js';
import {type Following, type GroupMember} from './group-member.js';

/** Pause after a pull that failed; short against the replication timeout, long enough not to spin. */
const retryPauseMs = 20;

export type ReplicationPullerOptions = {
	database: string;
	memberId: string;
	member: GroupMember;
	faults: Faults;
	timers: TimerService;
	transport: ReplicationTransport;
};

/** Pulls entries from the primary that the instance follows, until it follows another one. */
export class ReplicationPuller {
	#current: {following: Following; abort: AbortController} | undefined;
	readonly #stopListening: () => void;

	constructor(private readonly options: ReplicationPullerOptions) {
		this.#stopListening = options.member.onChange(() => {
			this.#update();
		});
	}

	close(): void {
		this.#stopListening();
		this.#current?.abort.abort();
	}

	#update(): void {
		const {following} = this.options.member;
		if (this.#current?.following === following) {
			return;
		}

		this.#current?.abort.abort();
		this.#current = following && {following, abort: new AbortController()};
		if (this.#current) {
			void this.#run(this.#current.following, this.#current.abort.signal);
		}
	}

	async #run(following: Following, signal: AbortSignal): Promise<void> {
		const {faults, member, timers} = this.options;
		const line = new DelayLine<LogEntry[]>({
			timers,
			delayMs: () => faults.values.replicationDelayMs,
			deliver(entries) {
				member.receive(following.term, entries);
			},
		});
		const stopListening = faults.onChange(() => {
			line.rearm();
		});
		let cursor = member.log.last;
		while (!signal.aborted) {
			await faults.until(({frozen, cutFromGroup}) => !frozen && !cutFromGroup);
			const answer = await this.#pull(following, cursor, signal);
			cursor = signal.aborted ? cursor : this.#take(following, answer, line, cursor);
			if (answer?.kind !== 'entries') {
				await timers.sleep(answer?.kind === 'mismatch' ? 0 : retryPauseMs);
			}
		}

		stopListening();
		line.clear();
	}

	async #pull({term, address}: Following, after: Position, signal: AbortSignal): Promise<PullAnswer | undefined> {
		const {database, memberId, transport, faults} = this.options;
		const abort = new AbortController();
		const stop = () => {
			abort.abort();
		};

		// A listener of its own for each pull: AbortSignal.any keeps a reference in the long-lived signal.
		signal.addEventListener('abort', stop);
		const stopListening = faults.onChange(() => {
			if (faults.values.cutFromGroup) {
				stop();
			}
		});
		try {
			const answer = await transport.pull(address, {
				database, memberId, term, after,
			}, abort.signal);
			await faults.untilThawed();
			return faults.values.cutFromGroup ? undefined : answer;
		} catch {
			// A primary that does not answer shows as missing contact; the loop tries again.
			return undefined;
		} finally {
			signal.removeEventListener('abort', stop);
			stopListening();
		}
	}

	/** Takes over an answer and gives the position after which to pull next. */
	#take({term}: Following, answer: PullAnswer | undefined, line: DelayLine<LogEntry[]>, cursor: Position): Position {
		const {member} = this.options;
		if (answer?.kind === 'entries') {
			member.heard(term, true);
			const last = answer.entries.at(-1);
			if (!last) {
				return cursor;
			}

			line.push(answer.entries);
			return {term: last.term, index: last.index};
		}

		if (answer?.kind === 'mismatch') {
			member.heard(term, false);
			line.clear();
			member.truncate(term, member.log.commonIndex(answer.lastIndex, answer.termStarts));
			return member.log.last;
		}

		return cursor;
	}
}
