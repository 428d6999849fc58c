import {
	comparePositions, type LogPosition, type TimerService,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type EndpointCommand, type EndpointStatus} from '../endpoint/index.js';
import {type Group, leadershipEvidenceMs, type Member} from '../group/index.js';
import {type EventLog} from '../observability/index.js';
import {type FailoverReason, type PromotionService} from './definitions.js';
import {type HeldLease} from './duty-lease.js';
import {type Announcement, reachesFloor, type TermAnnouncements} from './term-announcements.js';

export type ReplaceLeaderOptions = {
	group: Group;
	reason: FailoverReason;
	lease: HeldLease;
	promotions: PromotionService;
	announcements: TermAnnouncements;
	timers: TimerService;
	events: EventLog;
	hostId: string;
};

/** Longest time for a command to an endpoint during a promotion, in ms. */
const commandTimeoutMs = 500;
/** Time that replicas get to receive what the old primary wrote last, in ms; they usually have it at once. */
const catchUpMs = 1000;
/** The same if the replicas received nothing before either, in ms. */
const isolatedCatchUpMs = 150;
const catchUpPollMs = 30;
/** Time that a promotion gets to show, in ms; the slowest platform known takes 1,000. */
const effectMs = 2500;
const effectPollMs = 60;
/** The promotion call must be sent with this much of the lease left, in ms. */
const callMarginMs = 1000;
const callRetryMs = 100;
/** An instance that started less than this ago may not have its earlier log, so its word proves nothing, in ms. */
const vouchingAgeMs = 10_000;

type FencePlan = {
	replicas: readonly Member[];
	term: number;
	old: Member | undefined;
	/** End of the old primary's log, if it has stepped down. */
	end: LogPosition | undefined;
	announcement: Announcement;
};

type Vote = {member: Member; status: EndpointStatus};

/**
 * Replaces the primary of a group without losing an acknowledged commit.
 *
 * Such a commit is at the old primary and at one replica at least. So either the old primary has stepped down
 * and the next one has all of its log, or all other members are fenced and the longest log among them wins.
 */
export class ReplaceLeader {
	readonly #fenced: Member[] = [];
	/** Members that did not answer; the fence may have reached them all the same. */
	readonly #perhapsFenced: Member[] = [];

	constructor(private readonly options: ReplaceLeaderOptions) {}

	async run(): Promise<Result<Member, string>> {
		const {group, events, reason, lease, announcements} = this.options;
		const old = group.leader;
		const term = Math.max(group.term, ...[...group.members.values()].map(({status}) => status?.fencedTerm ?? 0)) + 1;
		events.write('promotion-started', {
			service: group.service, reason, leader: old?.id ?? 'none', term, fencingToken: lease.fencingToken,
		});
		const candidate = await this.#chooseCandidate(old, term);
		if (candidate.isErr()) {
			await this.#resumeFenced();
			// Nothing was ordered, so the term will not start: hosts may rely on the present one again.
			await announcements.announce(group.service, Math.min(group.term, term - 1));
			return err(candidate.error);
		}

		const promoted = await this.#promote(candidate.value);
		if (promoted.isErr()) {
			await this.#resumeFenced();
			return err(promoted.error);
		}

		const isLeading = await this.#awaitEffect(candidate.value);
		await this.#resumeFenced(candidate.value);
		if (isLeading) {
			await announcements.announce(group.service, group.term);
		}

		return isLeading ? ok(candidate.value) : err('the endpoint did not become primary in time');
	}

	async #chooseCandidate(old: Member | undefined, term: number): Promise<Result<Member, string>> {
		const {group, announcements, reason} = this.options;
		const replicas = [...group.members.values()].filter(member => member !== old);
		if (!replicas.some(member => isEligible(member))) {
			return err('no replica is ready to take over');
		}

		const announcement = await announcements.read(group.service);
		if (!announcement) {
			return err('the store does not answer');
		}

		// Replicas of a primary that works receive the rest of its log; others stay as they are.
		if (reason !== 'leader-draining' && !replicas.some(({status}) => status && reachesFloor(status.received, announcement))) {
			return err('the replicas lack commits that a departed member may have acknowledged');
		}

		if (!await announcements.announce(group.service, term)) {
			return err('the term could not be announced at the store');
		}

		const end = old && await this.#stepDown(old, term);
		if (end) {
			const caughtUp = await this.#awaitCaughtUp(replicas, end);
			if (caughtUp) {
				return ok(caughtUp);
			}
		}

		return this.#fenceReplicas({
			replicas, term, old, end, announcement,
		});
	}

	/** End of the old primary's log, or undefined if it did not confirm that it has stepped down. */
	async #stepDown(old: Member, term: number): Promise<LogPosition | undefined> {
		const status = await this.#command(old, {kind: 'step-down', term});
		this.#step('step-down', old, status);
		return status?.role === 'replica' ? status.received : undefined;
	}

	async #awaitCaughtUp(replicas: readonly Member[], end: LogPosition): Promise<Member | undefined> {
		const {timers, reason} = this.options;
		const deadlineMs = timers.nowMs() + (reason === 'leader-isolated' ? isolatedCatchUpMs : catchUpMs);
		do {
			const votes = await this.#askAll(replicas, {kind: 'status'});
			const candidate = votes
				.filter(({member, status}) => isEligible(member) && comparePositions(status.received, end) >= 0)
				.toSorted((a, b) => a.status.lagMs - b.status.lagMs)[0];
			if (candidate) {
				return candidate.member;
			}

			await timers.sleep(catchUpPollMs);
		} while (timers.nowMs() < deadlineMs);

		return undefined;
	}

	async #fenceReplicas({replicas, term, old, end, announcement}: FencePlan): Promise<Result<Member, string>> {
		const {timers, group} = this.options;
		const answered = await this.#askAll(replicas, {kind: 'fence', term});
		this.#fenced.push(...answered.map(({member}) => member));
		this.#perhapsFenced.push(...replicas.filter(member => !this.#fenced.includes(member)));
		const votes = answered.filter(({member, status}) => status.fencedTerm >= term && isVouching(member, timers.wallClockMs()));
		const fencedAtMs = timers.nowMs();
		// Without a known primary, one member that does not answer may be it.
		const needed = Math.max(1, old ? replicas.length : replicas.length - 1);
		const hasFloor = votes.some(({status}) => reachesFloor(status.received, announcement));
		if (votes.length < needed || !hasFloor) {
			return old && end && isEligible(old)
				? ok(old)
				: err(`only ${votes.length} of ${needed} members of ${group.service} could be fenced`);
		}

		const longest = votes.toSorted((a, b) => comparePositions(b.status.received, a.status.received));
		const candidate = longest.find(({member, status}) => isEligible(member) && comparePositions(status.received, longest[0]!.status.received) === 0);
		if (!candidate) {
			return err('the member with the longest log is leaving');
		}

		if (!end) {
			// Hosts that still reach the old primary trust it until their last word from a replica is too old.
			await timers.sleep(Math.max(0, leadershipEvidenceMs - (timers.nowMs() - fencedAtMs)));
			// An instance that was suspended may find the command that lifted an earlier fence only now.
			const confirmed = await this.#askAll(votes.map(({member}) => member), {kind: 'status'});
			if (confirmed.filter(({status}) => status.fencedTerm >= term).length < votes.length) {
				return err('a fence was lifted before the promotion was ordered');
			}
		}

		return ok(candidate.member);
	}

	async #promote(candidate: Member): Promise<Result<void, string>> {
		const {group, lease, promotions, timers, hostId} = this.options;
		for (;;) {
			if (!lease.isValid(callMarginMs)) {
				return err('the lease ran out before the promotion was ordered');
			}

			const called = await promotions.promote({
				service: group.service, endpointId: candidate.id, holder: hostId, fencingToken: lease.fencingToken,
			});
			this.#step('promote', candidate, candidate.status, called.isOk() ? 'ordered' : called.error.kind);
			if (called.isOk()) {
				return ok();
			}

			if (called.error.kind === 'not-running') {
				return err(called.error.message);
			}

			await timers.sleep(callRetryMs);
		}
	}

	async #awaitEffect(candidate: Member): Promise<boolean> {
		const {group, timers} = this.options;
		const deadlineMs = timers.nowMs() + effectMs;
		while (timers.nowMs() < deadlineMs) {
			await group.poll(candidate);
			if (group.leader === candidate) {
				return true;
			}

			await timers.sleep(effectPollMs);
		}

		return false;
	}

	/** A replica that stays fenced would hold up every commit that needs it. */
	async #resumeFenced(leader?: Member): Promise<void> {
		const replicas = this.#fenced.filter(member => member !== leader);
		// Waits for all answers: the lease ends next, and a late command would lift the fence of another promoter.
		await this.#askAll([...replicas, ...this.#perhapsFenced], {kind: 'resume'});
	}

	async #askAll(members: readonly Member[], command: Extract<EndpointCommand, {kind: 'status' | 'fence' | 'resume'}>): Promise<Vote[]> {
		const statuses = await Promise.all(members.map(async member => ({member, status: await this.#command(member, command)})));
		if (command.kind !== 'status') {
			for (const {member, status} of statuses) {
				this.#step(command.kind, member, status);
			}
		}

		return statuses.filter((vote): vote is Vote => vote.status !== undefined);
	}

	async #command(member: Member, command: Extract<EndpointCommand, {kind: 'status' | 'fence' | 'resume' | 'step-down'}>): Promise<EndpointStatus | undefined> {
		return member.control(command, commandTimeoutMs);
	}

	#step(step: string, member: Member, status: EndpointStatus | undefined, outcome = status ? 'answered' : 'no-answer'): void {
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

const isVouching = (member: Member, wallClockMs: number): boolean =>
	member.endpoint.startedUnixMs === 0 || wallClockMs - member.endpoint.startedUnixMs > vouchingAgeMs;
