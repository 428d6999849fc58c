import {
	comparePositions, type LogPosition, maxPosition, type RandomSource, type TimerService, type TimerSubscription, zeroPosition,
} from '@dogwoodthread/coordination';
import {type Endpoint, type ServiceLimits} from '../catalog/index.js';
import {type EventLog, guardTask} from '../observability/index.js';
import {type ClockDiscontinuityDetector} from './clock-discontinuity-detector.js';
import {LeadershipProof} from './leadership-proof.js';
import {type Member} from './member.js';
import {isPollDue} from './poll-schedule.js';
import {CommitBounds} from './commit-bounds.js';
import {DrainingIncarnations} from './draining-incarnations.js';
import {holdsCommit, type VoterRecordPort, VoterSet} from './voter-set.js';

export type GroupOptions = {
	service: string;
	limits: ServiceLimits;
	/** Time from the acknowledgement of an endpoint's draining until no statement may reach it any more, in ms. */
	drainBoundMs: number;
	timers: TimerService;
	clock: ClockDiscontinuityDetector;
	events: EventLog;
	createMember: (endpoint: Endpoint) => Member;
	/** Reads the highest term that a promoter has announced for the group; undefined if the store does not answer. */
	readAnnouncedTerm: () => Promise<number | undefined>;
	/** The voters of the group at the store. */
	voterRecord: VoterRecordPort;
	random: RandomSource;
	/** Time since this host last knew the list of endpoints to be up to date, in ms. */
	listAgeMs: () => number;
};

/** Interval of the check whether a member must be polled for its status, in ms. */
const checkIntervalMs = 100;
/** Minimum interval between polls of a member on demand, in ms, e.g. for reads that wait for a commit bound. */
const minOnDemandPollIntervalMs = 50;
/** A primary that leaves writes unconfirmed for longer than this, in ms, counts as stalled: it cannot reach its replicas. */
const stallThresholdMs = 700;
/** A member that answers nothing for this long counts as unresponsive, in ms. */
const unresponsiveThresholdMs = 500;
/** When reads have waited for a commit bound for longer than this, in ms, this host does not reach the members that it needs for one. */
const unboundedThresholdMs = 400;
/** A commit bound is renewed this long before it becomes too old, in ms. */
const boundRenewalLeadMs = 250;
/** Timeout of a status request, in ms. The request may queue behind statements. */
const statusTimeoutMs = 800;
/** A member without an entry must leave all requests unanswered for this long to count as ended, in ms. */
const minSilenceMs = 1000;
/** Interval between polls of a member whose entry is missing, or that is no voter, in ms. */
const unsettledPollIntervalMs = 500;
/** Interval at which a voter is asked again whether it holds a commit, in ms. */
const confirmRetryMs = 100;
/** Part of the drain bound that is reserved for statements still waiting for a connection to a draining primary, in ms. */
const drainReserveMs = 2000;
/**
 * A member that does not answer and whose catalog entry is missing for longer than this is removed, in ms. Other hosts must
 * have noticed by then that the entry is missing, also after an outage of their paths to the store.
 */
const missingRetentionMs = 12_000;

/** The members of one database: which one is the primary, how far the log is known, and which ones may serve statements. */
export class Group {
	readonly members = new Map<string, Member>();
	#limits: ServiceLimits;
	#leader: Member | undefined;
	#leaderTerm = 0;
	#leaderlessSinceMs: number | undefined;
	readonly #bounds: CommitBounds;
	readonly #waiters = new Set<() => void>();
	readonly #checkTimer: TimerSubscription;
	readonly #proof: LeadershipProof;
	readonly #voters: VoterSet;
	/** Highest position that this host has passed on to a client as committed. */
	#highestPassed = zeroPosition;
	#confirmationCount = 0;
	#closed = false;
	readonly #drainingIncarnations = new DrainingIncarnations();
	/** Members to be polled again once the answer on its way has arrived, because it may be too early for a later commit. */
	readonly #pollsToRepeat = new Set<Member>();
	/** Since when reads have been waiting for a commit bound in vain, in monotonic ms. */
	#unboundedSinceMs: number | undefined;

	constructor(private readonly options: GroupOptions) {
		this.#limits = options.limits;
		this.#bounds = new CommitBounds(options.timers, options.clock);
		this.#proof = new LeadershipProof({
			timers: options.timers,
			clock: options.clock,
			leaderTerm: () => this.#leaderTerm,
			nextReplica: excluded => this.#leastLoadedReplica(excluded),
			poll: async member => this.poll(member),
			readAnnouncedTerm: options.readAnnouncedTerm,
		});
		this.#voters = new VoterSet({
			service: options.service,
			record: options.voterRecord,
			timers: options.timers,
			random: options.random,
			events: options.events,
			members: this.members,
			listAgeMs: options.listAgeMs,
			primary: () => this.#leader && {member: this.#leader, term: this.#leaderTerm},
			requestPrimaryStatus: async () => this.#requestPrimaryStatus(),
			highestPassed: () => this.#highestPassed,
			onChange: () => {
				for (const member of this.members.values()) {
					this.#applyStatus(member);
				}

				this.#notifyWaiters();
			},
		});
		this.#leaderlessSinceMs = options.timers.nowMs();
		this.#checkTimer = options.timers.every(checkIntervalMs, () => {
			this.#runChecks();
		});
	}

	get service(): string {
		return this.options.service;
	}

	get limits(): ServiceLimits {
		return this.#limits;
	}

	/** Whether a primary may get new statements. A draining one may until `drainReserveMs` before the end of the drain bound. */
	canAcceptStatements(member: Member, nowMs: number): boolean {
		return member.drainingForMs(nowMs) < this.options.drainBoundMs - drainReserveMs;
	}

	/** The member that this host takes for the primary. */
	get leader(): Member | undefined {
		return this.#leader;
	}

	/** Highest term reported by any member. */
	get term(): number {
		return Math.max(this.#leaderTerm, ...[...this.members.values()].map(({status}) => status?.term ?? 0));
	}

	/** Whether no statement uses or waits for a connection of the group, and no commit for its confirmation. */
	get isUnused(): boolean {
		return this.#confirmationCount === 0 && [...this.members.values()].every(({pool}) => pool.inUseCount === 0 && pool.waitingCount === 0);
	}

	get voters(): VoterSet {
		return this.#voters;
	}

	get leaderlessSinceMs(): number | undefined {
		return this.#leaderlessSinceMs;
	}

	/** Whether commits can be passed on to clients: the voters are recorded. */
	get canConfirmCommits(): boolean {
		return this.#limits.syncReplicas === 0 || (this.#voters.isKnown && this.#voters.size > 1);
	}

	get nowMs(): number {
		return this.options.timers.nowMs();
	}

	/** Whether the primary does not confirm writes, or does not answer at all. */
	isLeaderStalled(nowMs: number): boolean {
		const leader = this.#leader;
		return leader !== undefined && (leader.stalledForMs(nowMs) > stallThresholdMs || leader.failingForMs(nowMs) > unresponsiveThresholdMs);
	}

	/**
	 * Whether this host reaches the primary or, if that is not needed, enough members for a read. A primary that has been
	 * unknown for a short time only, e.g. after the start of the process, counts as reachable.
	 */
	canServe(needsLeader: boolean, nowMs: number): boolean {
		const reachable = [...this.members.values()].filter(member => isReachable(member, nowMs));
		const isLeaderReachable = this.#leader
			? reachable.includes(this.#leader)
			: nowMs - (this.#leaderlessSinceMs ?? nowMs) < unresponsiveThresholdMs;
		return needsLeader
			? isLeaderReachable && !this.isLeaderStalled(nowMs)
			: this.#unboundedForMs(nowMs) < unboundedThresholdMs && (isLeaderReachable || reachable.length >= this.#statusesNeededForBound);
	}

	/** Whether a promotion may still take place: some replica answers, or has not failed for long enough to be unresponsive. */
	isPromotionPossible(nowMs: number): boolean {
		return [...this.members.values()].some(member => member !== this.#leader && member.failingForMs(nowMs) < unresponsiveThresholdMs);
	}

	/**
	 * Applies the endpoints that the catalog lists at present. Changes since the previous call were acknowledged after
	 * `changedAfterMs`, in monotonic time.
	 */
	update(listedEndpoints: readonly Endpoint[], limits: ServiceLimits, changedAfterMs: number): void {
		this.#limits = limits;
		const endpoints = listedEndpoints.map(endpoint => this.#drainingIncarnations.apply(endpoint));
		const nowMs = this.options.timers.nowMs();
		const listed = new Map(endpoints.map(endpoint => [endpoint.endpointId, endpoint]));
		for (const member of this.members.values()) {
			const endpoint = listed.get(member.id);
			const isSameIncarnation = endpoint?.address === member.endpoint.address && endpoint.startedUnixMs === member.endpoint.startedUnixMs;
			if (endpoint && isSameIncarnation) {
				this.#updateMember(member, endpoint, changedAfterMs);
			} else if (endpoint) {
				this.#remove(member, 'restarted');
			} else if (member.missingSinceMs === undefined) {
				member.missingSinceMs = nowMs;
				this.#pollUnlessRecent(member);
			}
		}

		for (const endpoint of endpoints) {
			if (!this.members.has(endpoint.endpointId)) {
				this.#add(endpoint, changedAfterMs);
			}
		}
	}

	close(): void {
		this.#closed = true;
		this.#checkTimer.cancel();
		for (const member of this.members.values()) {
			this.#remove(member, 'service-removed');
		}

		this.#notifyWaiters();
	}

	/** Polls every member, except those polled a moment ago, e.g. after an answer that contradicts the known state. */
	pollAll(): void {
		for (const member of this.members.values()) {
			this.#pollUnlessRecent(member);
		}
	}

	/** Called when the primary refused a statement because it is no longer the primary. */
	recordLeadershipLost(member: Member): void {
		if (this.#leader === member) {
			this.#setLeader(undefined, 'read-only-answer');
			member.status = undefined;
			this.pollAll();
		}
	}

	/**
	 * Whether current evidence from the replicas or the store shows that no promotion can have taken effect before `atMs`.
	 * A group whose only voter is the primary needs no evidence.
	 */
	isLeadershipProven(atMs: number): boolean {
		const isOnlyVoter = this.#voters.isKnown && this.#voters.size <= 1 && this.members.size <= 1 && this.#voters.announcedTerm <= this.#leaderTerm;
		return this.#leader !== undefined && (isOnlyVoter || this.#proof.isValidAt(atMs));
	}

	/** Waits for a proof that no promotion took effect before `atMs`. Concurrent callers share the requests for it. */
	async proveLeadership(atMs: number, deadlineMs: number): Promise<boolean> {
		while (!this.isLeadershipProven(atMs) && this.options.timers.nowMs() < deadlineMs && this.#leader) {
			await this.#proof.renew();
		}

		return this.isLeadershipProven(atMs);
	}

	/**
	 * Waits until a voter besides the primary is known to hold a commit that `leader` has acknowledged at `position`, and
	 * returns whether one is by the deadline. The acknowledgement alone shows only that some instance has it, which may be
	 * one that no promoter knows.
	 */
	async confirmCommit(leader: Member, position: LogPosition, deadlineMs: number): Promise<boolean> {
		this.#confirmationCount += 1;
		try {
			return await this.#awaitCopy(leader, position, deadlineMs);
		} finally {
			this.#confirmationCount -= 1;
		}
	}

	/**
	 * Records the acknowledgement of a commit that was sent at `sentAtMs`: every commit acknowledged before is at or below
	 * its position, if the primary led then.
	 */
	recordCommit(member: Member, sentAtMs: number, position: LogPosition): void {
		if (member === this.#leader && this.isLeadershipProven(sentAtMs)) {
			this.#addBound(sentAtMs, position);
		}
	}

	/** Oldest known position that is at or above all commits acknowledged before `atMs`. */
	commitBoundAt(atMs: number): LogPosition | undefined {
		return this.#bounds.boundAt(atMs);
	}

	/**
	 * As `commitBoundAt`, but polls the members and waits until the deadline if no such position is known. A position that
	 * will soon be too old is renewed in advance.
	 */
	async awaitCommitBoundAt(atMs: number, deadlineMs: number): Promise<LogPosition | undefined> {
		for (;;) {
			const bound = this.commitBoundAt(atMs);
			const remainingMs = deadlineMs - this.options.timers.nowMs();
			if (bound && !this.commitBoundAt(atMs + boundRenewalLeadMs)) {
				this.#pollForBound();
			}

			this.#unboundedSinceMs = bound ? undefined : this.#unboundedSinceMs ?? this.options.timers.nowMs();
			const shouldGiveUp = remainingMs <= 0 || this.#closed;
			if (bound ?? shouldGiveUp) {
				return bound;
			}

			this.#pollForBound();
			this.#proveForBound(deadlineMs);

			await this.waitForChange(Math.min(remainingMs, 2 * minOnDemandPollIntervalMs));
		}
	}

	/** Resolves at the next change of the known state, at the latest after `waitMs`. */
	async waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				timeout.cancel();
				this.#waiters.delete(finish);
				resolve();
			};

			const timeout = this.options.timers.after(waitMs, finish);
			this.#waiters.add(finish);
		});
	}

	async poll(member: Member): Promise<void> {
		const {timers} = this.options;
		member.lastPollAtMs = timers.nowMs();
		member.isPolling = true;
		const status = await member.sendControlCommand({kind: 'status'}, statusTimeoutMs);
		member.isPolling = false;
		if (status && this.members.get(member.id) === member) {
			this.#applyStatus(member);
		}

		this.#notifyWaiters();
		if (this.#pollsToRepeat.delete(member) && !this.#closed && !member.isPolling) {
			void this.poll(member);
		}
	}

	async #awaitCopy(leader: Member, position: LogPosition, deadlineMs: number): Promise<boolean> {
		const {timers} = this.options;
		const acknowledgedAtMs = timers.nowMs();
		for (;;) {
			if (this.#isHeldByVoter(leader, position)) {
				this.#highestPassed = maxPosition(this.#highestPassed, position);
				return true;
			}

			const nowMs = timers.nowMs();
			if (nowMs >= deadlineMs || this.#closed) {
				return false;
			}

			this.#pollToConfirm(leader, position.term, acknowledgedAtMs);

			await this.waitForChange(Math.min(confirmRetryMs, deadlineMs - nowMs));
		}
	}

	#pollUnlessRecent(member: Member): void {
		if (!member.isPolling && this.options.timers.nowMs() - member.lastPollAtMs >= minOnDemandPollIntervalMs) {
			void this.poll(member);
		}
	}

	#isHeldByVoter(leader: Member, position: LogPosition): boolean {
		if (this.#limits.syncReplicas === 0) {
			return true;
		}

		// A voter that has joined a later term may hold the commit by a promotion that the logs of other voters supersede.
		return this.#voters.isWitness(leader, position.term) && [...this.members.values()].some(member => member !== leader && this.#isCounted(member, position.term)
			&& member.status?.term === position.term && holdsCommit(member.status.received, position));
	}

	/** Whether a member's copy of a commit of `term` counts. One whose entry is missing may be recorded as departed by another host. */
	#isCounted(member: Member, term: number): boolean {
		return this.#voters.isWitness(member, term) && member.missingSinceMs === undefined && !member.hasLostLog;
	}

	/**
	 * Polls the least loaded voter that has not been polled since the commit was acknowledged, or not for a while. One that
	 * stays and answers is preferred. Commits that are acknowledged while a request is on its way share the next one.
	 */
	#pollToConfirm(leader: Member, term: number, acknowledgedAtMs: number): void {
		const nowMs = this.options.timers.nowMs();
		const rank = (member: Member) => (member.lastPollAtMs < acknowledgedAtMs ? 0 : 4) + (member.failingForMs(nowMs) > 0 || member.isPolling ? 2 : 0) + (member.endpoint.state === 'ready' ? 0 : 1);
		const target = [...this.members.values()]
			.filter(member => member !== leader && this.#isCounted(member, term))
			.filter(({lastPollAtMs}) => lastPollAtMs < acknowledgedAtMs || nowMs - lastPollAtMs >= confirmRetryMs)
			.toSorted((a, b) => (rank(a) - rank(b)) || (a.pool.inUseCount - b.pool.inUseCount))[0];
		if (target?.isPolling) {
			this.#pollsToRepeat.add(target);
		} else if (target) {
			void this.poll(target);
		}
	}

	/** If too few members answer for a commit bound, proves the leadership: the position of a proven primary is a bound by itself. */
	#proveForBound(deadlineMs: number): void {
		const nowMs = this.options.timers.nowMs();
		const answeringCount = [...this.members.values()].filter(member => member.failingForMs(nowMs) === 0).length;
		if (answeringCount < this.#statusesNeededForBound && this.#leader && !this.#proof.isInProgress) {
			void this.proveLeadership(nowMs, deadlineMs);
		}
	}

	#unboundedForMs(nowMs: number): number {
		return this.#unboundedSinceMs === undefined ? 0 : nowMs - this.#unboundedSinceMs;
	}

	/** Polls only as many members as a commit bound needs: the primary and the least loaded replicas. */
	#pollForBound(): void {
		const replicas = [...this.members.values()]
			.filter(member => member !== this.#leader && member.failingForMs(this.options.timers.nowMs()) === 0)
			.toSorted((a, b) => a.pool.inUseCount - b.pool.inUseCount);
		const targets = [...(this.#leader ? [this.#leader] : []), ...replicas].slice(0, this.#statusesNeededForBound);
		const missingCount = this.#statusesNeededForBound - targets.length;
		for (const member of missingCount > 0 ? this.members.values() : targets) {
			this.#pollUnlessRecent(member);
		}
	}

	/** With synchronous replication a commit is at two voters, so the status of one voter may be missing. */
	get #statusesNeededForBound(): number {
		return this.#limits.syncReplicas > 0 && this.#voters.isKnown ? Math.max(1, this.#voters.size - 1) : this.members.size;
	}

	#leastLoadedReplica(excluded: ReadonlySet<Member>): Member | undefined {
		return [...this.members.values()]
			.filter(member => member !== this.#leader && !excluded.has(member) && this.#isWitness(member) && member.failingForMs(this.options.timers.nowMs()) === 0)
			.toSorted((a, b) => a.pool.inUseCount - b.pool.inUseCount)[0];
	}

	#runChecks(): void {
		const nowMs = this.options.timers.nowMs();
		void guardTask('voters', this.options.events, async () => this.#voters.reconcile());
		for (const member of this.members.values()) {
			if (hasEnded(member, nowMs)) {
				this.#remove(member, member.endpoint.state === 'draining' ? 'left' : 'entry-missing');
			} else if (isPollDue(member, this.#leader, nowMs) || this.#isCheckDue(member, nowMs)) {
				this.#pollUnlessRecent(member);
			}

			if (!isReachable(member, nowMs)) {
				member.pool.failWaiting();
			}

			member.pool.maintain();
		}
	}

	/** A member without an entry is asked whether it still runs, and one that is no voter yet whether it has joined the present term. */
	#isCheckDue(member: Member, nowMs: number): boolean {
		const isUnsettled = member.missingSinceMs !== undefined || (this.#voters.isKnown && !this.#voters.includes(member));
		return isUnsettled && nowMs - member.lastPollAtMs >= unsettledPollIntervalMs;
	}

	#applyStatus(member: Member): void {
		const {status} = member;
		if (!status) {
			return;
		}

		if (status.role === 'primary' && status.term >= this.#leaderTerm) {
			this.#leaderTerm = status.term;
			this.#setLeader(member, 'status');
		} else if (member === this.#leader && status.role === 'replica') {
			this.#setLeader(undefined, 'status');
		} else if (status.term > this.#leaderTerm) {
			// A replica has joined a later term, so the primary that this host knows is a former one.
			this.#leaderTerm = status.term;
			this.#setLeader(undefined, 'later-term');
			this.pollAll();
		}

		if (member !== this.#leader && status.role === 'replica' && this.#isWitness(member)) {
			this.#proof.recordReplica(status, member.statusRequestedAtMs);
		}

		if (member === this.#leader && status.role === 'primary' && this.isLeadershipProven(member.statusRequestedAtMs)) {
			this.#addBound(member.statusRequestedAtMs, status.received);
		}

		this.#updateBounds();
	}

	/** Whether a promoter must fence the member. Before the first voters are recorded nothing can be promoted, and any member will do. */
	#isWitness(member: Member): boolean {
		return this.#isCounted(member, this.#leaderTerm) || (this.#voters.isKnown && this.#voters.size === 0);
	}

	/**
	 * A commit that was passed on is at two voters at least or at or below the floor, so the statuses of all voters but one
	 * include one that has it.
	 */
	#updateBounds(): void {
		const isVoterNeeded = this.#limits.syncReplicas > 0;
		if (isVoterNeeded && (!this.#voters.isKnown || this.#voters.size < 2)) {
			return;
		}

		const answered = [...this.members.values()]
			.filter(member => member.status !== undefined && (!isVoterNeeded || this.#voters.includes(member)))
			.toSorted((a, b) => b.statusRequestedAtMs - a.statusRequestedAtMs);
		if (answered.length < this.#statusesNeededForBound) {
			return;
		}

		const newest = answered.slice(0, this.#statusesNeededForBound);
		const coveredUntilMs = isVoterNeeded ? this.#voters.coveredUntilMs(this.options.timers.nowMs()) : Number.POSITIVE_INFINITY;
		const position = highestOf([...newest.map(({status}) => status!.received), this.#voters.floor]);
		this.#addBound(Math.min(newest.at(-1)!.statusRequestedAtMs, coveredUntilMs), position);
	}

	#addBound(requestedAtMs: number, position: LogPosition): void {
		if (requestedAtMs >= (this.#unboundedSinceMs ?? Number.POSITIVE_INFINITY)) {
			this.#unboundedSinceMs = undefined;
		}

		this.#bounds.add(requestedAtMs, position);
	}

	#setLeader(leader: Member | undefined, source: string): void {
		if (leader === this.#leader) {
			return;
		}

		const {events, timers} = this.options;
		const previous = this.#leader?.id ?? 'none';
		this.#leader = leader;
		this.#leaderlessSinceMs = leader ? undefined : timers.nowMs();
		events.write(leader ? 'leader-changed' : 'leader-unknown', {
			service: this.service, from: previous, to: leader?.id ?? 'none', term: this.#leaderTerm, source,
		});
		this.#notifyWaiters();
	}

	#updateMember(member: Member, endpoint: Endpoint, changedAfterMs: number): void {
		const previous = member.endpoint;
		member.endpoint = endpoint;
		member.missingSinceMs = undefined;
		member.recordEndpointState(changedAfterMs);
		if (previous.state !== endpoint.state || previous.role !== endpoint.role) {
			this.options.events.write('endpoint-changed', {
				service: this.service, endpointId: endpoint.endpointId, fromState: previous.state, toState: endpoint.state, fromRole: previous.role, toRole: endpoint.role,
			});
			this.#pollUnlessRecent(member);
			this.#notifyWaiters();
		}
	}

	#add(endpoint: Endpoint, changedAfterMs: number): void {
		const member = this.options.createMember(endpoint);
		member.recordEndpointState(changedAfterMs);
		this.members.set(member.id, member);
		this.options.events.write('endpoint-appeared', {
			service: this.service, endpointId: member.id, address: endpoint.address, state: endpoint.state, role: endpoint.role, failureDomain: endpoint.failureDomain,
		});
		this.#pollUnlessRecent(member);
	}

	#remove(member: Member, reason: string): void {
		this.members.delete(member.id);
		member.pool.close();
		this.options.events.write('endpoint-gone', {service: this.service, endpointId: member.id, reason});
		if (this.#leader === member) {
			this.#setLeader(undefined, reason);
		}

		if (reason !== 'service-removed') {
			this.#voters.recordEnd(member);
		}
	}

	/** The position of the present primary; undefined if it does not answer as the primary. */
	async #requestPrimaryStatus(): Promise<{position: LogPosition; term: number} | undefined> {
		const leader = this.#leader;
		const status = await leader?.sendControlCommand({kind: 'status'}, statusTimeoutMs);
		return status?.role === 'primary' && leader === this.#leader ? {position: status.received, term: status.term} : undefined;
	}

	#notifyWaiters(): void {
		for (const waiter of this.#waiters) {
			waiter();
		}
	}
}

const isReachable = (member: Member, nowMs: number): boolean =>
	member.failingForMs(nowMs) < unresponsiveThresholdMs && member.silentForMs(nowMs) < unresponsiveThresholdMs;

/**
 * Whether a member whose entry is missing can acknowledge nothing any more: it does not answer this host either. An entry
 * vanishes when the instance has left, but also when the instance only cannot reach the store.
 */
function hasEnded(member: Member, nowMs: number): boolean {
	const {missingSinceMs, endpoint} = member;
	const isDue = missingSinceMs !== undefined && (endpoint.state === 'draining' || nowMs - missingSinceMs > missingRetentionMs);
	return isDue && !member.isPolling && member.hasFailedSince(missingSinceMs) && member.failingForMs(nowMs) >= minSilenceMs;
}

const highestOf = (positions: readonly LogPosition[]): LogPosition =>
	positions.toSorted((a, b) => comparePositions(b, a))[0] ?? zeroPosition;
