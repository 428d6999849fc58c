import {
	comparePositions, type LogPosition, type TimerService,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type EndpointCommand, type EndpointStatus} from '../endpoint/index.js';
import {type Group, leadershipEvidenceTtlMs, type Member} from '../group/index.js';
import {type EventLog} from '../observability/index.js';
import {type FailoverReason, type PromotionService} from './definitions.js';
import {type HeldLease} from './promotion-lease.js';
import {type UnseenOrders} from './unseen-orders.js';
import {type Announcement, hasReachedFloor, type PromotionRecordStore} from './promotion-record-store.js';

export type ReplaceLeaderOptions = {
	group: Group;
	reason: FailoverReason;
	lease: HeldLease;
	promotionService: PromotionService;
	promotionRecords: PromotionRecordStore;
	unseenOrders: UnseenOrders;
	timers: TimerService;
	events: EventLog;
	hostId: string;
};

/** Timeout of a command to an endpoint during a promotion, in ms. */
const commandTimeoutMs = 500;
/** Time for replicas to receive the last writes of the old primary, in ms. They usually have them at once. */
const catchUpTimeoutMs = 1000;
/** As `catchUpTimeoutMs`, for an isolated primary, whose replicas received nothing before either, in ms. */
const isolatedCatchUpTimeoutMs = 150;
const catchUpPollIntervalMs = 30;
/** Time for a promotion to take effect, in ms. The slowest platform known takes 1,000 ms. */
const promotionTimeoutMs = 2500;
const promotionPollIntervalMs = 60;
/** Minimum remaining time of the lease when the promotion is ordered, in ms. */
const minLeaseRemainingMs = 1000;
/** A voter that has answered nothing for this long does not answer, in ms. */
const silentThresholdMs = 500;
const callRetryDelayMs = 100;
/** A voter without an entry that does not answer counts as lost for good after this time, in ms: other hosts have then noted what they passed on. */
const lostVoterTimeoutMs = 6000;

type FenceOptions = {
	replicas: readonly Member[];
	term: number;
	announcement: Announcement;
	/** The old primary, if it has confirmed that it stepped down, and the end of its log. */
	steppedDown: LogEnd | undefined;
	/** Whether no primary of a later term than the old one can exist. */
	isLatestPrimary: boolean;
};

/** A member that accepts no commits any more, and the end of its log. */
type LogEnd = {member: Member; received: LogPosition};

type MemberAnswer = {member: Member; status: EndpointStatus};

/**
 * Replaces the primary of a group without losing a commit that a host has passed on to a client.
 *
 * Such a commit is at the primary that wrote it and at another voter, or at or below the floor (`VoterSet`). So there are
 * two safe ways: the present primary has stepped down and the next one has all of its log, or all voters but one are
 * accounted for (fenced or stepped down) and the one with the longest log is promoted. The voters are those of the
 * record with which the term is announced; from then on none is added or removed.
 */
export class ReplaceLeader {
	readonly #fenced: Member[] = [];
	/** Members that did not answer the fence command; it may have reached them nevertheless. */
	readonly #possiblyFenced: Member[] = [];
	#announcement: Announcement | undefined;
	#mayHaveOrdered = false;

	constructor(private readonly options: ReplaceLeaderOptions) {}

	async run(): Promise<Result<Member, string>> {
		const {group, events, reason, lease} = this.options;
		events.write('promotion-started', {
			service: group.service, reason, leader: group.leader?.id ?? 'none', term: group.term, fencingToken: lease.fencingToken,
		});
		const candidate = await this.#chooseCandidate();
		const promoted = candidate.isOk() ? await this.#promote(candidate.value) : candidate;
		if (promoted.isErr()) {
			await this.#giveUp();
			return err(promoted.error);
		}

		// Replicas that the new primary reaches join its term, which ends their fences. One that it does not reach must
		// stay fenced, or it would receive from the former primary again.
		if (!await this.#awaitPromotion(promoted.value)) {
			return err('the endpoint did not become primary in time');
		}

		if (lease.isValid()) {
			await this.options.promotionRecords.settleTerm(group.service, this.#announcement!, group.term);
		}

		return ok(promoted.value);
	}

	/** Undoes the attempt, unless a promotion may have been ordered: it may take effect at any time. */
	async #giveUp(): Promise<void> {
		if (this.#mayHaveOrdered || !this.#announcement) {
			return;
		}

		const {group, promotionRecords, lease} = this.options;
		// Once the lease has ended, another promoter may rely on fences of the same members.
		if (lease.isValid() && this.#announcement.previousOrderedTerm <= group.term) {
			await this.#liftFences();
		}

		await promotionRecords.withdrawTerm(group.service, this.#announcement, group.term);
	}

	async #chooseCandidate(): Promise<Result<Member, string>> {
		const {group, promotionRecords, reason} = this.options;
		const oldLeader = group.leader;
		const replicas = [...group.members.values()].filter(member => member !== oldLeader);
		if (!replicas.some(member => isEligible(member))) {
			return err('no replica is ready to take over');
		}

		const promotionRecord = await promotionRecords.read(group.service);
		if (!promotionRecord) {
			return err('the store did not return the promotion record');
		}

		if (this.options.unseenOrders.mustAwait(group.service, promotionRecord, group.term)) {
			return err(`${promotionRecord.orderedBy} has ordered a promotion to term ${promotionRecord.orderedTerm}, which this host does not see yet`);
		}

		// Replicas of a draining primary still receive the rest of its log; the logs of others no longer grow.
		if (reason !== 'leader-draining' && !replicas.some(({status}) => status && hasReachedFloor(status.received, promotionRecord))) {
			return err('the replicas lack commits that a departed member may have acknowledged');
		}

		if (promotionRecord.voters.length < 2) {
			return err('the voters of the group are not recorded yet');
		}

		if (!replicas.some(member => isEligible(member) && promotionRecord.voters.includes(member.incarnation))) {
			if (promotionRecord.term > group.term && promotionRecord.orderedTerm <= group.term && this.options.lease.isValid(minLeaseRemainingMs)) {
				// An announcement without an order, of a promoter that has ended, keeps the present members from being recorded.
				await promotionRecords.settleTerm(group.service, promotionRecord, group.term);
			}

			return err('no voter is ready to take over');
		}

		const silent = promotionRecord.voters.filter(voter => !this.#isAnswering(voter));
		if (silent.length > 1 && !this.#areLost(silent)) {
			// An attempt would only stop the replicas for a while, and keep the voters from changing.
			return err(`${silent.length} of the ${promotionRecord.voters.length} voters do not answer, and only one may be missing: ${silent.join(', ')}`);
		}

		// A fence lets a replica join a primary of its own term or a later one, so it must be above every term that may have started.
		const term = Math.max(group.term, promotionRecord.orderedTerm) + 1;
		const announcement = await promotionRecords.announceTerm(group.service, term, `${this.options.hostId}/${this.options.lease.fencingToken}`);
		if (!announcement) {
			return err('the term could not be announced at the store');
		}

		this.#announcement = announcement;
		const ledTerm = oldLeader?.status?.term;
		const status = oldLeader && await this.#stepDown(oldLeader, term);
		const steppedDown = status && {member: oldLeader, received: status.received};
		// A higher term that was ordered before may have started without this host's knowledge. Then the log of a primary of an
		// earlier term does not have all commits, and one that has joined it already is no primary.
		const isLatestPrimary = status !== undefined && status.term === ledTerm && announcement.previousOrderedTerm <= status.term
			&& this.#isVoter(oldLeader!) && !oldLeader!.hasLostLog && hasReachedFloor(status.received, announcement.record);
		const caughtUp = steppedDown && isLatestPrimary && await this.#awaitCaughtUp(replicas, steppedDown.received);
		return caughtUp
			? ok(caughtUp)
			: this.#fenceReplicas({
				replicas, term, announcement, steppedDown, isLatestPrimary,
			});
	}

	#isAnswering(voter: string): boolean {
		const {group, timers} = this.options;
		return [...group.members.values()].some(member => member.incarnation === voter && member.failingForMs(timers.nowMs()) < silentThresholdMs);
	}

	/** Whether voters have been gone for so long that they count as lost for good. */
	#areLost(voters: readonly string[]): boolean {
		const {group, timers} = this.options;
		return voters.every(voter => group.voters.goneForMs(voter, timers.nowMs()) > lostVoterTimeoutMs);
	}

	#isVoter(member: Member): boolean {
		return this.#announcement?.record.voters.includes(member.incarnation) ?? false;
	}

	/** Status of the old primary, or undefined if it did not confirm that it has stepped down. */
	async #stepDown(oldLeader: Member, term: number): Promise<EndpointStatus | undefined> {
		const status = await this.#sendCommand(oldLeader, {kind: 'step-down', term});
		this.#logStep('step-down', oldLeader, status);
		return status?.role === 'replica' ? status : undefined;
	}

	async #awaitCaughtUp(replicas: readonly Member[], oldLogEnd: LogPosition): Promise<Member | undefined> {
		const {timers, reason} = this.options;
		const deadlineMs = timers.nowMs() + (reason === 'leader-isolated' ? isolatedCatchUpTimeoutMs : catchUpTimeoutMs);
		do {
			const answers = await this.#commandAll(replicas, {kind: 'status'});
			const candidate = answers
				.filter(({member, status}) => isEligible(member) && this.#isVoter(member) && comparePositions(status.received, oldLogEnd) >= 0)
				.toSorted((a, b) => a.status.lagMs - b.status.lagMs)[0];
			if (candidate) {
				return candidate.member;
			}

			await timers.sleep(catchUpPollIntervalMs);
		} while (timers.nowMs() < deadlineMs);

		return undefined;
	}

	async #fenceReplicas({replicas, term, announcement, steppedDown, isLatestPrimary}: FenceOptions): Promise<Result<Member, string>> {
		const {timers} = this.options;
		// A primary that has stepped down is a replica, and would receive from a primary of a later term.
		const members = [...replicas, ...(steppedDown ? [steppedDown.member] : [])];
		const answered = await this.#commandAll(members, {kind: 'fence', term});
		this.#fenced.push(...answered.map(({member}) => member));
		this.#possiblyFenced.push(...members.filter(member => !this.#fenced.includes(member)));
		const fencedAtMs = timers.nowMs();
		const fenced = answered
			.filter(({member, status}) => status.fencedTerm >= term && this.#isVoter(member) && !member.hasLostLog)
			.map(({member, status}): LogEnd => ({member, received: status.received}));
		// The log of the old primary is needed only in place of another voter's: what it alone has was not passed on.
		const withoutOldLeader = fenced.filter(({member}) => member !== steppedDown?.member);
		const isOldLeaderNeeded = announcement.record.voters.length - withoutOldLeader.length > 1;
		const logEnds = (isOldLeaderNeeded ? fenced : withoutOldLeader).toSorted((a, b) => comparePositions(b.received, a.received));
		const problem = this.#findMissingQuorum(logEnds, announcement);
		if (problem) {
			// The latest primary has every commit, so it may at least lead again.
			return steppedDown && isLatestPrimary && isEligible(steppedDown.member) && hasReachedFloor(steppedDown.received, announcement.record)
				? ok(steppedDown.member)
				: err(problem);
		}

		const candidate = logEnds.find(({member, received}) => isEligible(member) && comparePositions(received, logEnds[0]!.received) === 0);
		if (!candidate) {
			return err('the member with the longest log is draining or missing from the catalog');
		}

		if (!isLatestPrimary) {
			// Hosts that still reach the present primary trust it until their evidence from a replica has expired.
			await timers.sleep(Math.max(0, leadershipEvidenceTtlMs - (timers.nowMs() - fencedAtMs)));
			// An instance that was suspended may process the command that lifted an earlier fence only now.
			const confirmed = await this.#commandAll(fenced.map(({member}) => member), {kind: 'status'});
			if (confirmed.filter(({status}) => status.fencedTerm >= term).length < fenced.length) {
				return err('not every fence was confirmed before the promotion was ordered');
			}
		}

		return ok(candidate.member);
	}

	/** Why the voters with these ends of their logs, longest first, are not enough for a promotion; undefined if they are. */
	#findMissingQuorum(logEnds: readonly LogEnd[], {record, term}: Announcement): string | undefined {
		const {group, events, lease} = this.options;
		const accounted = new Set(logEnds.map(({member}) => member.incarnation));
		const missing = record.voters.filter(voter => !accounted.has(voter));
		const isEveryMissingLost = this.#areLost(missing);
		const hasFloor = logEnds[0] !== undefined && hasReachedFloor(logEnds[0].received, record);
		events.write('promotion-quorum', {
			service: group.service,
			term,
			voters: record.voters.join(' '),
			accounted: logEnds.map(({member, received}) => `${member.id}=${received.term}.${received.index}`).join(' '),
			missing: missing.join(' '),
			isEveryMissingLost,
			floor: `${record.floor.term}.${record.floor.index}`,
			hasFloor,
			departed: record.departed.join(' '),
			fencingToken: lease.fencingToken,
		});
		if (missing.length > 1 && !isEveryMissingLost) {
			return `${missing.length} of the ${record.voters.length} voters of ${group.service} could not be fenced, and only one may be missing: ${missing.join(', ')}`;
		}

		return hasFloor ? undefined : 'the voters that answer lack commits that a departed member may have acknowledged';
	}

	async #promote(candidate: Member): Promise<Result<Member, string>> {
		const {group, lease, promotionService, promotionRecords, timers, hostId} = this.options;
		if (!lease.isValid(minLeaseRemainingMs) || !await promotionRecords.noteOrder(group.service, this.#announcement!, {hostId, incarnation: candidate.incarnation})) {
			return err('the order could not be noted at the store while the lease was valid');
		}

		for (;;) {
			if (!lease.isValid(minLeaseRemainingMs)) {
				return err('the lease is not valid for long enough to order the promotion');
			}

			const hasOpenCall = this.#mayHaveOrdered;
			this.#mayHaveOrdered = true;
			const called = await promotionService.promote({
				service: group.service, endpointId: candidate.id, holder: hostId, fencingToken: lease.fencingToken,
			});
			this.#logStep('promote', candidate, candidate.status, called.isOk() ? 'ordered' : called.error.kind);
			if (called.isOk()) {
				return ok(candidate);
			}

			this.#mayHaveOrdered = hasOpenCall || !called.error.outcomeKnown;
			if (called.error.kind === 'not-running') {
				return err(called.error.message);
			}

			await timers.sleep(callRetryDelayMs);
		}
	}

	async #awaitPromotion(candidate: Member): Promise<boolean> {
		const {group, timers} = this.options;
		const deadlineMs = timers.nowMs() + promotionTimeoutMs;
		while (timers.nowMs() < deadlineMs) {
			await group.poll(candidate);
			if (group.leader === candidate) {
				return true;
			}

			await timers.sleep(promotionPollIntervalMs);
		}

		return false;
	}

	/**
	 * Lifts the fences of this attempt, since a replica that stays fenced blocks every commit that needs it. A replica that has
	 * not joined the present term stays fenced: it would receive from the primary of an earlier one.
	 */
	async #liftFences(): Promise<void> {
		const {group} = this.options;
		const members = [...this.#fenced, ...this.#possiblyFenced].filter(({status}) => status?.term === group.term);
		// Waits for all answers: the lease is released next, and a late command would lift another promoter's fence.
		await this.#commandAll(members, {kind: 'resume'});
	}

	async #commandAll(members: readonly Member[], command: Extract<EndpointCommand, {kind: 'status' | 'fence' | 'resume'}>): Promise<MemberAnswer[]> {
		const statuses = await Promise.all(members.map(async member => ({member, status: await this.#sendCommand(member, command)})));
		if (command.kind !== 'status') {
			for (const {member, status} of statuses) {
				this.#logStep(command.kind, member, status);
			}
		}

		return statuses.filter((answer): answer is MemberAnswer => answer.status !== undefined);
	}

	async #sendCommand(member: Member, command: Extract<EndpointCommand, {kind: 'status' | 'fence' | 'resume' | 'step-down'}>): Promise<EndpointStatus | undefined> {
		return member.sendControlCommand(command, commandTimeoutMs);
	}

	#logStep(step: string, member: Member, status: EndpointStatus | undefined, outcome = status ? 'answered' : 'no-answer'): void {
		this.options.events.write('promotion-step', {
			service: this.options.group.service,
			step,
			endpointId: member.id,
			outcome,
			role: status?.role,
			term: status?.term,
			fencedTerm: status?.fencedTerm,
			received: status && `${status.received.term}.${status.received.index}`,
			fencingToken: this.options.lease.fencingToken,
		});
	}
}

const isEligible = (member: Member): boolean => member.endpoint.state === 'ready' && member.missingSinceMs === undefined;
