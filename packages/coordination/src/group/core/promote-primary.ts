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
	/** Returns a unique change id. */
	newChangeId: () => string;
};

export type PromotionRequest = {
	database: string;
	/** Member id of the primary to replace. */
	replaces: string;
	/** Term in which that primary was observed. If the record shows a later established term, no promotion is needed. */
	observedTerm: number;
	/** Members to choose only if no other member is equally advanced, e.g. members that are leaving. */
	avoidedMemberIds: readonly string[];
	/**
	 * Members that get no fence command, neither count towards the majority nor can be chosen. A primary that is
	 * partitioned from its group but reachable from the promoter has the longest log and would be chosen again. It
	 * acknowledges nothing more, because a majority of the others is fenced.
	 */
	excludedMemberIds: readonly string[];
};

type VersionedRecord = {record: GroupRecord; version: number};
type FencedMember = {member: GroupMember; reply: FenceReply};

const failure = (kind: PromotionErrorKind, message: string) => err<never, PromotionError>({kind, message});

/**
 * Replaces the primary of a group. Each step is either a conditional update at the platform or a call that
 * instances refuse if its term is outdated. A promoter that is suspended at any step and resumes later
 * therefore cannot undo the work of its successor.
 */
export class PromotePrimary {
	constructor(private readonly options: PromotePrimaryOptions) {}

	async run(request: PromotionRequest): Promise<Result<PromotionReport, PromotionError>> {
		const {timers} = this.options;
		const startedAtMs = timers.nowMs();
		const claimed = await this.#claimTerm(request);
		if (claimed.isErr()) {
			return err(claimed.error);
		}

		const agreedAtMs = timers.nowMs();
		const fenced = await this.#fenceMajority(claimed.value.record, request.excludedMemberIds);
		if (fenced.isErr()) {
			return err(fenced.error);
		}

		const fencedAtMs = timers.nowMs();
		const primary = chooseCandidate(fenced.value, request.avoidedMemberIds);
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
			agreementMs: agreedAtMs - startedAtMs,
			fencingMs: fencedAtMs - agreedAtMs,
			promotionMs: timers.nowMs() - fencedAtMs,
		});
	}

	async #claimTerm({database, replaces, observedTerm}: PromotionRequest): Promise<Result<VersionedRecord, PromotionError>> {
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

	async #fenceMajority(record: GroupRecord, excludedMemberIds: readonly string[]): Promise<Result<FencedMember[], PromotionError>> {
		const majority = majorityOf(record.members.length);
		const isFencedAtLaterTerm = ({reply}: FencedMember) => reply.fencedTerm > record.term;
		// A member with an empty log may have lost entries that it had confirmed, so it does not count.
		const countsTowardsMajority = ({reply}: FencedMember) => reply.accepted && reply.last.index > 0;
		const replies = await collectUntil(
			record.members.filter(({memberId}) => !excludedMemberIds.includes(memberId)).map(async member => {
				const reply = await this.options.control.fence(record.database, member, record.term);
				return reply.map(value => ({member, reply: value}));
			}),
			// Replies that do not count must not end the wait: the first to reply may be a member that lost its log.
			soFar => soFar.some(fenced => isFencedAtLaterTerm(fenced)) || soFar.filter(fenced => countsTowardsMajority(fenced)).length >= majority,
		);
		const superseding = replies.find(fenced => isFencedAtLaterTerm(fenced));
		if (superseding) {
			return failure('superseded', `Member ${superseding.member.memberId} is fenced at term ${superseding.reply.fencedTerm}; a later promotion is under way.`);
		}

		const accepted = replies.filter(fenced => countsTowardsMajority(fenced));
		return accepted.length >= majority
			? ok(accepted)
			: failure('no-majority', `Only ${accepted.length} of ${record.members.length} members of ${record.database} could be fenced; restore ${majority - accepted.length} more.`);
	}

	async #recordPrimary({record, version}: VersionedRecord, primary: GroupMember): Promise<Result<VersionedRecord, PromotionError>> {
		return this.#write(version, {...record, primary: primary.memberId, phase: 'promoting'});
	}

	async #promote({record, version}: VersionedRecord, primary: GroupMember): Promise<Result<void, PromotionError>> {
		const {control} = this.options;
		const reply = await control.promote(record.database, primary, record.term);
		if (reply.isErr() || !reply.value.accepted) {
			return failure('target-refused', `Member ${primary.memberId} did not become primary of term ${record.term}; the promotion is tried again with the next term.`);
		}

		const followers = record.members.filter(({memberId}) => memberId !== primary.memberId);
		await collectUntil(
			followers.map(async member => control.follow(record.database, member, record.term, primary)),
			soFar => soFar.length >= majorityOf(record.members.length) - 1,
		);
		// The primary of the term is fixed and serves from here on, so a failure of this update is ignored.
		await this.#write(version, {...record, phase: 'established'});
		return ok();
	}

	async #read(database: string): Promise<Result<VersionedRecord, PromotionError>> {
		const object = await this.options.platform.get('groups', database);
		if (object.isErr()) {
			return platformFailure(object.error);
		}

		const record = parseGroupRecord(object.value.value);
		return record.isErr()
			? failure('platform-unavailable', record.error.message)
			: ok({record: record.value, version: object.value.version});
	}

	async #write(expectedVersion: number, next: GroupRecord): Promise<Result<VersionedRecord, PromotionError>> {
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

	/** Determines by the change id whether an update whose response was lost has taken effect. */
	async #resolveLostAnswer(record: GroupRecord): Promise<Result<VersionedRecord, PromotionError>> {
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

/** Chooses the member with the most advanced log; among equals, one that is not in `avoidedMemberIds`. */
function chooseCandidate(fenced: readonly FencedMember[], avoidedMemberIds: readonly string[]): GroupMember {
	const ordered = fenced.toSorted((a, b) => comparePositions(b.reply.last, a.reply.last));
	const candidates = ordered
		.filter(({reply}) => comparePositions(reply.last, ordered[0]!.reply.last) === 0)
		.map(({member}) => member);
	return candidates.find(({memberId}) => !avoidedMemberIds.includes(memberId)) ?? candidates[0]!;
}

/** Resolves with the successful results so far once `isEnough` accepts them or all calls have ended. */
async function collectUntil<T>(calls: Array<Promise<Result<T, unknown>>>, isEnough: (soFar: readonly T[]) => boolean): Promise<T[]> {
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
