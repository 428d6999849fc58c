import {err, ok, type Result} from 'neverthrow';
import {type Platform, type PlatformError} from '../../platform/index.js';
import {type TimerService} from '../../timer/index.js';
import {
	type FenceReply, type GroupControl, type GroupMember, type GroupRecord, type PromotionError,
	type PromotionErrorKind, type PromotionReport,
} from '../definitions.js';
import {parseGroupRecord} from '../domain/group-record.js';
import {
	comparePositions, majorityOf, maxPosition, zeroPosition,
} from '../domain/log-position.js';

export type PromotePrimaryOptions = {
	platform: Platform;
	control: GroupControl;
	timers: TimerService;
	hostId: string;
	/** Gives unique change ids. */
	newChangeId: () => string;
};

export type PromotionRequest = {
	database: string;
	/** Primary that is to be replaced. */
	replaces: string;
	/** Term in which it was seen; a record of a later established term ends the promotion. */
	observedTerm: number;
	/** Members to choose last among equally advanced ones, e.g. those that are leaving. */
	avoid: readonly string[];
	/**
	 * Members to fence without choosing them or counting them towards the majority: a primary that is cut off
	 * from its group but not from the promoter has the longest log and would be chosen again.
	 */
	exclude: readonly string[];
};

type Versioned = {record: GroupRecord; version: number};
type Fenced = {member: GroupMember; reply: FenceReply};

const failure = (kind: PromotionErrorKind, message: string) => err<never, PromotionError>({kind, message});

/**
 * Replaces the primary of a group. Each step is a conditional update at the platform or is refused by
 * term at the instances, so a promoter that pauses and wakes at any step changes nothing it no longer may.
 */
export class PromotePrimary {
	constructor(private readonly options: PromotePrimaryOptions) {}

	async run(request: PromotionRequest): Promise<Result<PromotionReport, PromotionError>> {
		const {timers} = this.options;
		const startMs = timers.nowMs();
		const claimed = await this.#claimTerm(request);
		if (claimed.isErr()) {
			return err(claimed.error);
		}

		const agreedMs = timers.nowMs();
		const fenced = await this.#fenceMajority(claimed.value.record, request.exclude);
		if (fenced.isErr()) {
			return err(fenced.error);
		}

		const fencedMs = timers.nowMs();
		const primary = chooseCandidate(fenced.value, request.avoid);
		const recorded = await this.#recordPrimary(claimed.value, primary);
		if (recorded.isErr()) {
			return err(recorded.error);
		}

		const promoted = await this.#promote(recorded.value, primary);
		if (promoted.isErr()) {
			return err(promoted.error);
		}

		return ok({
			database: request.database,
			term: recorded.value.record.term,
			primary: primary.memberId,
			agreementMs: agreedMs - startMs,
			fencingMs: fencedMs - agreedMs,
			promotionMs: timers.nowMs() - fencedMs,
		});
	}

	async #claimTerm({database, replaces, observedTerm}: PromotionRequest): Promise<Result<Versioned, PromotionError>> {
		const current = await this.#read(database);
		if (current.isErr()) {
			return err(current.error);
		}

		const {record, version} = current.value;
		if (record.phase === 'established' && (record.primary !== replaces || record.term > observedTerm)) {
			return failure('not-needed', `Group ${database} already has primary ${record.primary} in term ${record.term}; use it.`);
		}

		return this.#write(version, {
			...record, term: record.term + 1, phase: 'fencing', promoter: this.options.hostId,
		});
	}

	async #fenceMajority(record: GroupRecord, exclude: readonly string[]): Promise<Result<Fenced[], PromotionError>> {
		const majority = majorityOf(record.members.length);
		const isLater = ({reply}: Fenced) => reply.fencedTerm > record.term;
		// A member with an empty log may have lost what it had confirmed, so it cannot vouch for the rest.
		const vouches = ({reply}: Fenced) => reply.accepted && reply.last.index > 0;
		const replies = await collect(
			record.members.filter(({memberId}) => !exclude.includes(memberId)).map(async member => {
				const reply = await this.options.control.fence(record.database, member, record.term);
				return reply.map(value => ({member, reply: value}));
			}),
			// Replies that do not count must not end the wait: the quickest member may be one that lost its log.
			soFar => soFar.some(fenced => isLater(fenced)) || soFar.filter(fenced => vouches(fenced)).length >= majority,
		);
		const superseding = replies.find(fenced => isLater(fenced));
		if (superseding) {
			return failure('superseded', `Member ${superseding.member.memberId} is fenced at term ${superseding.reply.fencedTerm}; a later promotion is under way.`);
		}

		const accepted = replies.filter(fenced => vouches(fenced));
		return accepted.length >= majority
			? ok(accepted)
			: failure('no-majority', `Only ${accepted.length} of ${record.members.length} members of ${record.database} could be fenced; restore ${majority - accepted.length} more.`);
	}

	async #recordPrimary({record, version}: Versioned, primary: GroupMember): Promise<Result<Versioned, PromotionError>> {
		return this.#write(version, {...record, primary: primary.memberId, phase: 'promoting'});
	}

	async #promote({record, version}: Versioned, primary: GroupMember): Promise<Result<void, PromotionError>> {
		const {control} = this.options;
		const reply = await control.promote(record.database, primary, record.term);
		if (reply.isErr() || !reply.value.accepted) {
			return failure('target-refused', `Member ${primary.memberId} did not become primary of term ${record.term}; the promotion is tried again with the next term.`);
		}

		const followers = record.members.filter(({memberId}) => memberId !== primary.memberId);
		await collect(
			followers.map(async member => control.follow(record.database, member, record.term, primary)),
			soFar => soFar.length >= majorityOf(record.members.length) - 1,
		);
		// The record only informs from here on; the primary of the term is fixed and serves.
		await this.#write(version, {...record, phase: 'established'});
		return ok();
	}

	async #read(database: string): Promise<Result<Versioned, PromotionError>> {
		const object = await this.options.platform.get('groups', database);
		if (object.isErr()) {
			return platformFailure(object.error);
		}

		const record = parseGroupRecord(object.value.value);
		return record.isErr()
			? failure('platform-unavailable', record.error.message)
			: ok({record: record.value, version: object.value.version});
	}

	async #write(expectedVersion: number, next: GroupRecord): Promise<Result<Versioned, PromotionError>> {
		const record = {...next, changeId: this.options.newChangeId()};
		const written = await this.options.platform.put('groups', record.database, record, expectedVersion);
		if (written.isOk()) {
			return ok({record, version: written.value});
		}

		if (written.error.kind === 'unavailable' && !written.error.outcomeKnown) {
			return this.#resolveLostAnswer(record);
		}

		return written.error.kind === 'conflict'
			? failure('superseded', `Another promoter has changed the record of ${record.database}; its promotion goes on.`)
			: platformFailure(written.error);
	}

	/** The update may have taken effect although its answer was lost: the change id tells. */
	async #resolveLostAnswer(record: GroupRecord): Promise<Result<Versioned, PromotionError>> {
		const current = await this.#read(record.database);
		if (current.isErr()) {
			return err(current.error);
		}

		return current.value.record.changeId === record.changeId
			? ok(current.value)
			: failure('superseded', `The update of the record of ${record.database} did not take effect; the promotion is tried again.`);
	}
}

const platformFailure = (error: PlatformError) =>
	failure('platform-unavailable', `The platform cannot agree the promotion (${error.message}); restore the platform.`);

/** Most advanced member; among equals one that is not to be avoided. */
function chooseCandidate(fenced: readonly Fenced[], avoid: readonly string[]): GroupMember {
	const ordered = fenced.toSorted((a, b) => comparePositions(b.reply.last, a.reply.last));
	const candidates = ordered
		.filter(({reply}) => comparePositions(reply.last, ordered[0]!.reply.last) === 0)
		.map(({member}) => member);
	return candidates.find(({memberId}) => !avoid.includes(memberId)) ?? candidates[0]!;
}

/** Resolves with the successful results so far when they are enough, or all calls have ended. */
async function collect<T>(calls: Array<Promise<Result<T, unknown>>>, isEnough: (soFar: readonly T[]) => boolean): Promise<T[]> {
	const results: T[] = [];
	return new Promise(resolve => {
		let pending = calls.length;
		const settle = async (call: Promise<Result<T, unknown>>) => {
			const result = await call;
			pending -= 1;
			if (result.isOk()) {
				results.push(result.value);
			}

			if (isEnough(results) || pending === 0) {
				resolve([...results]);
			}
		};

		if (pending === 0) {
			resolve([]);
		}

		for (const call of calls) {
			void settle(call);
		}
	});
}
