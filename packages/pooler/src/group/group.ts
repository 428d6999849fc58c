import {
	comparePositions, type LogPosition, type TimerService, type TimerSubscription, zeroPosition,
} from '@dogwoodthread/coordination';
import {type Endpoint, type ServiceLimits} from '../catalog/index.js';
import {type EventLog} from '../observability/index.js';
import {type ClockDiscontinuityDetector} from './clock-discontinuity-detector.js';
import {DepartedMembersFloor} from './departed-members-floor.js';
import {LeadershipProof} from './leadership-proof.js';
import {type Member} from './member.js';
import {isPollDue} from './poll-schedule.js';
import {CommitBounds} from './commit-bounds.js';
import {DrainingIncarnations} from './draining-incarnations.js';

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
	/** Reads the highest position that departed members may have acknowledged; undefined if the store does not answer. */
	readDepartedMembersFloor: () => Promise<LogPosition | undefined>;
	/** Called when a member has departed, with `id@start time` and an upper bound of the positions that it may have acknowledged. */
	onDeparture: (incarnation: string, position: LogPosition) => void;
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
/** Part of the drain bound that is reserved for statements still waiting for a connection to a draining primary, in ms. */
const drainReserveMs = 2000;
/** A member whose catalog entry is missing for longer than this is removed, in ms. */
const missingRetentionMs = 5000;

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
	readonly #departedMembersFloor: DepartedMembersFloor;
	#closed = false;
	readonly #drainingIncarnations = new DrainingIncarnations();
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
		this.#departedMembersFloor = new DepartedMembersFloor({timers: options.timers, read: options.readDepartedMembersFloor});
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

	/** Whether no statement uses or waits for a connection of the group. */
	get isUnused(): boolean {
		return [...this.members.values()].every(({pool}) => pool.inUseCount === 0 && pool.waitingCount === 0);
	}

	get leaderlessSinceMs(): number | undefined {
		return this.#leaderlessSinceMs;
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
			} else if (member.endpoint.state === 'draining') {
				this.#remove(member, 'left');
			} else {
				member.missingSinceMs ??= nowMs;
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
	 * A group of one member needs no evidence.
	 */
	isLeadershipProven(atMs: number): boolean {
		return this.members.size <= 1 || this.#proof.isValidAt(atMs);
	}

	/** Waits for a proof that no promotion took effect before `atMs`. Concurrent callers share the requests for it. */
	async proveLeadership(atMs: number, deadlineMs: number): Promise<boolean> {
		while (!this.isLeadershipProven(atMs) && this.options.timers.nowMs() < deadlineMs && this.#leader) {
			await this.#proof.renew();
		}

		return this.isLeadershipProven(atMs);
	}

	/**
	 * Records the acknowledgement of a commit that was sent at `sentAtMs`. A replica received the commit, so at that
	 * time the primary had not stepped down and at least one replica was not fenced.
	 */
	recordCommit(member: Member, sentAtMs: number, position: LogPosition | undefined): void {
		if (member !== this.#leader || !position || this.#limits.syncReplicas === 0) {
			return;
		}

		this.#proof.recordUnfenced(sentAtMs);
		this.#addBound(sentAtMs, position);
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
	}

	#pollUnlessRecent(member: Member): void {
		if (!member.isPolling && this.options.timers.nowMs() - member.lastPollAtMs >= minOnDemandPollIntervalMs) {
			void this.poll(member);
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

	/** With synchronous replication a commit is at two members, so the status of one member may be missing. */
	get #statusesNeededForBound(): number {
		const toleratedMissing = this.#limits.syncReplicas > 0 ? 1 : 0;
		return Math.max(Math.min(2, this.members.size), this.members.size - toleratedMissing);
	}

	#leastLoadedReplica(excluded: ReadonlySet<Member>): Member | undefined {
		return [...this.members.values()]
			.filter(member => member !== this.#leader && !excluded.has(member) && member.failingForMs(this.options.timers.nowMs()) === 0)
			.toSorted((a, b) => a.pool.inUseCount - b.pool.inUseCount)[0];
	}

	#runChecks(): void {
		const nowMs = this.options.timers.nowMs();
		void this.#departedMembersFloor.readIfUnknown();
		for (const member of this.members.values()) {
			if (member.missingSinceMs !== undefined && nowMs - member.missingSinceMs > missingRetentionMs) {
				this.#remove(member, 'entry-missing');
			} else if (isPollDue(member, this.#leader, nowMs)) {
				this.#pollUnlessRecent(member);
			}

			if (!isReachable(member, nowMs)) {
				member.pool.failWaiting();
			}

			member.pool.maintain();
		}
	}

	#applyStatus(member: Member): void {
		const status = member.status!;
		if (status.role === 'primary' && status.term >= this.#leaderTerm) {
			this.#leaderTerm = status.term;
			this.#setLeader(member, 'status');
		} else if (member === this.#leader && status.role === 'replica') {
			this.#setLeader(undefined, 'status');
		}

		if (member !== this.#leader && status.role === 'replica' && status.fencedTerm <= this.#leaderTerm && status.term <= this.#leaderTerm) {
			this.#proof.recordUnfenced(member.statusRequestedAtMs);
		}

		if (member === this.#leader && status.role === 'primary' && this.isLeadershipProven(member.statusRequestedAtMs)) {
			this.#addBound(member.statusRequestedAtMs, status.received);
		}

		this.#updateBounds();
	}

	/**
	 * An acknowledged commit is at the primary and at one replica at least, so the statuses of all members but one
	 * include at least one member that has it.
	 */
	#updateBounds(): void {
		const answered = [...this.members.values()]
			.filter(({status}) => status !== undefined)
			.toSorted((a, b) => b.statusRequestedAtMs - a.statusRequestedAtMs);
		if (answered.length < this.#statusesNeededForBound) {
			return;
		}

		const newest = answered.slice(0, this.#statusesNeededForBound);
		const hasLeader = this.#leader !== undefined && newest.includes(this.#leader);
		// A departed replica may have been the only one to acknowledge a commit of the primary.
		const floor = this.#departedMembersFloor.position;
		if (!hasLeader && !floor) {
			return;
		}

		const position = highestOf([...newest.map(({status}) => status!.received), ...(floor ? [floor] : [])]);
		this.#addBound(newest.at(-1)!.statusRequestedAtMs, position);
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

		// A member that restarted under its id has lost its log, so it counts as departed as well.
		if (reason === 'left' || reason === 'entry-missing' || reason === 'restarted') {
			void this.#recordDeparture(member);
		}
	}

	/** The primary's position after the departure is an upper bound of what the member acknowledged. */
	async #recordDeparture(member: Member): Promise<void> {
		const lastKnownBound = highestOf([this.#bounds.latest ?? zeroPosition, this.#departedMembersFloor.position ?? zeroPosition]);
		this.#departedMembersFloor.invalidate();
		const status = await this.#leader?.sendControlCommand({kind: 'status'}, statusTimeoutMs);
		const isConfirmed = status?.role === 'primary';
		this.options.onDeparture(`${member.id}@${member.endpoint.startedUnixMs}`, isConfirmed ? status.received : lastKnownBound);
		if (isConfirmed) {
			this.#departedMembersFloor.set(status.received);
		}
	}

	#notifyWaiters(): void {
		for (const waiter of this.#waiters) {
			waiter();
		}
	}
}

const isReachable = (member: Member, nowMs: number): boolean =>
	member.failingForMs(nowMs) < unresponsiveThresholdMs && member.silentForMs(nowMs) < unresponsiveThresholdMs;

const highestOf = (positions: readonly LogPosition[]): LogPosition =>
	positions.toSorted((a, b) => comparePositions(b, a))[0] ?? zeroPosition;
