import {type TimerService} from '@dogwoodthread/coordination';
import {type PullAnswer, type PullRequest} from '../definitions.js';
import {type GroupMember} from './group-member.js';

/** Entries in one answer; keeps an answer to a replica that is far behind small enough to parse quickly. */
const maxEntries = 500;

export type ReplicationSourceOptions = {
	database: string;
	member: GroupMember;
	timers: TimerService;
	/** Longest wait for a new entry in ms; an empty answer then tells the replica that the primary lives. */
	waitMs: number;
};

/** Answers the pulls of replicas as long as the instance is the primary of their term. */
export class ReplicationSource {
	constructor(private readonly options: ReplicationSourceOptions) {}

	async pull(request: PullRequest): Promise<PullAnswer> {
		const answer = this.#answerNow(request);
		if (answer.kind !== 'entries' || answer.entries.length > 0) {
			return answer;
		}

		await this.#waitForChange(request);
		return this.#answerNow(request);
	}

	#answerNow({database, term, after}: PullRequest): PullAnswer {
		const {member} = this.options;
		const refusal = database === this.options.database
			? member.refusalOf(term)
			: {code: 'wrong-database'};
		if (refusal) {
			return {kind: 'refused', code: refusal.code};
		}

		return member.log.has(after)
			? {kind: 'entries', entries: member.log.after(after.index, maxEntries)}
			: {kind: 'mismatch', lastIndex: member.log.last.index, termStarts: member.log.termStarts()};
	}

	async #waitForChange({term, after}: PullRequest): Promise<void> {
		const {member, timers, waitMs} = this.options;
		await new Promise<void>(resolve => {
			const finish = () => {
				stop();
				timer.cancel();
				resolve();
			};

			const stop = member.onChange(() => {
				if (member.log.last.index > after.index || member.refusalOf(term)) {
					finish();
				}
			});
			const timer = timers.after(waitMs, finish);
		});
	}
}
