import {
	comparePositions, type LogPosition, type TimerService, type TimerSubscription, zeroPosition,
} from '@dogwoodthread/coordination';
import {type Endpoint, type ServiceLimits} from '../catalog/index.js';
import {type EventLog} from '../observability/index.js';
import {type ContinuityClock} from './continuity-clock.js';
import {DepartedFloor} from './departed-floor.js';
import {LeadershipProof} from './leadership-proof.js';
import {type Member} from './member.js';
import {isPollDue} from './poll-schedule.js';
import {PositionBounds} from './position-bounds.js';

export type GroupOptions = {
	service: string;
	limits: ServiceLimits;
	/** Time from the acknowledgement that an endpoint leaves until nothing may reach it, in ms. */
	drainBoundMs: number;
	timers: TimerService;
	clock: ContinuityClock;
	events: EventLog;
	createMember: (endpoint: Endpoint) => Member;
	/** Highest term that a promoter has announced for the group; undefined if the store does not answer. */
	announcedTerm: () => Promise<number | undefined>;
	/** Position that members which are gone may have acknowledged; undefined if the store does not answer. */
	departedFloor: () => Promise<LogPosition | undefined>;
	/** Told when a member is gone, with a position that bounds what it may have acknowledged. */
	onDeparture: (incarnation: string, position: LogPosition) => void;
};

/** Interval at which a group looks whether a member must be asked for its status, in ms. */
const checkIntervalMs = 100;
/** Requests that wait for a bound or a proof ask a member no more often than this, in ms. */
const onDemandIntervalMs = 50;
/** Writes unconfirmed for this long mean that the primary cannot reach its replicas, in ms. */
const stallMs = 700;
/** A member that answers nothing for this long is not counted on, in ms. */
const unresponsiveMs = 500;
/** A bound that would soon be too old is renewed this long before, in ms. */
const boundRenewalMs = 250;
/** Longest time for a status answer, in ms; it may queue behind statements. */
const statusTimeoutMs = 800;
/** Statements for a primary that leaves may wait this long for a connection before they reach it, in ms. */
const drainReserveMs = 2000;
/** An entry that is missing for this long belongs to an endpoint that is gone, in ms. */
const missingRetentionMs = 5000;

/** The instances of one database: who leads, how far the log is known, and who may serve. */
export class Group {
	readonly members = new Map<string, Member>();
	#limits: ServiceLimits;
	#leader: Member | undefined;
	#leaderTerm = 0;
	#leaderlessSinceMs: number | undefined;
	readonly #bounds: PositionBounds;
	readonly #waiters = new Set<() => void>();
	readonly #checks: TimerSubscription;
	readonly #proof: LeadershipProof;
	readonly #floor: DepartedFloor;
	#closed = false;

	constructor(private readonly options: GroupOptions) {
		this.#limits = options.limits;
		this.#bounds = new PositionBounds(options.timers, options.clock);
		this.#proof = new LeadershipProof({
			timers: options.timers,
			clock: options.clock,
			leaderTerm: () => this.#leaderTerm,
			nextReplica: excluded => this.#leastLoadedReplica(excluded),
			poll: async member => this.poll(member),
			announcedTerm: options.announcedTerm,
		});
		this.#floor = new DepartedFloor({timers: options.timers, read: options.departedFloor});
		this.#leaderlessSinceMs = options.timers.nowMs();
		this.#checks = options.timers.every(checkIntervalMs, () => {
			this.#check();
		});
	}

	get service(): string {
		return this.options.service;
	}

	get limits(): ServiceLimits {
		return this.#limits;
	}

	/** Whether a member gets new work as the primary: for a part of the drain bound also while it leaves. */
	takesNewWork(member: Member, nowMs: number): boolean {
		return member.drainingForMs(nowMs) < this.options.drainBoundMs - drainReserveMs;
	}

	get leader(): Member | undefined {
		return this.#leader;
	}

	/** Highest term in which a primary or a replica was seen. */
	get term(): number {
		return Math.max(this.#leaderTerm, ...[...this.members.values()].map(({status}) => status?.term ?? 0));
	}

	/** Whether no statement uses its connections. */
	get isUnused(): boolean {
		return [...this.members.values()].every(({pool}) => pool.inUseCount === 0 && pool.waitingCount === 0);
	}

	get leaderlessSinceMs(): number | undefined {
		return this.#leaderlessSinceMs;
	}

	/** Whether the primary confirms no writes, or answers nothing at all. */
	isLeaderStalled(nowMs: number): boolean {
		const leader = this.#leader;
		return leader !== undefined && (leader.stalledForMs(nowMs) > stallMs || leader.failingForMs(nowMs) > unresponsiveMs);
	}

	/** Whether a promotion may still help: a replica answers, or none was asked long enough to tell. */
	hasHope(nowMs: number): boolean {
		return [...this.members.values()].some(member => member !== this.#leader && member.failingForMs(nowMs) < unresponsiveMs);
	}

	/**
	 * Takes over the endpoints that the catalog lists at present. What differs from the last time was acknowledged after
	 * `changedAfterMs`, in steady time.
	 */
	update(endpoints: readonly Endpoint[], limits: ServiceLimits, changedAfterMs: number): void {
		this.#limits = limits;
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
		this.#checks.cancel();
		for (const member of this.members.values()) {
			this.#remove(member, 'service-removed');
		}

		this.#wake();
	}

	/** Asks every member, e.g. after an answer that contradicts what is believed. */
	pollSoon(): void {
		for (const member of this.members.values()) {
			this.#pollOnce(member);
		}
	}

	/** The primary refused a statement because it no longer leads. */
	noteLeadershipLost(member: Member): void {
		if (this.#leader === member) {
			this.#setLeader(undefined, 'read-only-answer');
			member.status = undefined;
			this.pollSoon();
		}
	}

	/** Whether no promotion can have taken effect before `atMs`, as far as replicas said. */
	isLeadershipProven(atMs: number): boolean {
		return this.members.size <= 1 || this.#proof.holdsAt(atMs);
	}

	/** Waits for a proof that no promotion took effect before `atMs`; all who wait share the requests for it. */
	async proveLeadership(atMs: number, deadlineMs: number): Promise<boolean> {
		while (!this.isLeadershipProven(atMs) && this.options.timers.nowMs() < deadlineMs && this.#leader) {
			await this.#proof.renew();
		}

		return this.isLeadershipProven(atMs);
	}

	/**
	 * A commit was acknowledged that was sent at `sentAtMs`: a replica received it, so neither had the primary
	 * stepped down nor were all replicas fenced by then.
	 */
	noteCommit(member: Member, sentAtMs: number, position: LogPosition | undefined): void {
		if (member !== this.#leader || !position || this.#limits.syncReplicas === 0) {
			return;
		}

		this.#proof.noteUnfenced(sentAtMs);
		this.#bounds.add(sentAtMs, position);
	}

	/** Oldest known position that bounds all commits acknowledged before `sinceMs`. */
	boundSince(sinceMs: number): LogPosition | undefined {
		return this.#bounds.since(sinceMs);
	}

	/** As `boundSince`, asking the members if nothing is known, or renewing in advance what will soon be too old. */
	async awaitBoundSince(sinceMs: number, deadlineMs: number): Promise<LogPosition | undefined> {
		for (;;) {
			const known = this.boundSince(sinceMs);
			const leftMs = deadlineMs - this.options.timers.nowMs();
			if (known && !this.boundSince(sinceMs + boundRenewalMs)) {
				this.#pollForBound();
			}

			const isOver = leftMs <= 0 || this.#closed;
			if (known ?? isOver) {
				return known;
			}

			this.#pollForBound();
			this.#proveForBound(deadlineMs);

			await this.waitForChange(Math.min(leftMs, 2 * onDemandIntervalMs));
		}
	}

	/** Resolves at the next change of what is known, at the latest after `waitMs`. */
	async waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				timeout.cancel();
				this.#waiters.delete(done);
				resolve();
			};

			const timeout = this.options.timers.after(waitMs, done);
			this.#waiters.add(done);
		});
	}

	async poll(member: Member): Promise<void> {
		const {timers} = this.options;
		member.lastPollAtMs = timers.nowMs();
		member.isPolling = true;
		const status = await member.control({kind: 'status'}, statusTimeoutMs);
		member.isPolling = false;
		if (status && this.members.get(member.id) === member) {
			this.#learn(member);
		}

		this.#wake();
	}

	#pollOnce(member: Member): void {
		if (!member.isPolling && this.options.timers.nowMs() - member.lastPollAtMs >= onDemandIntervalMs) {
			void this.poll(member);
		}
	}

	/** With too few members in reach for a bound, the position of a proven primary is one. */
	#proveForBound(deadlineMs: number): void {
		const nowMs = this.options.timers.nowMs();
		const inReach = [...this.members.values()].filter(member => member.failingForMs(nowMs) === 0).length;
		if (inReach < this.#answersForBound && this.#leader && !this.#proof.isUnderWay) {
			void this.proveLeadership(nowMs, deadlineMs);
		}
	}

	/** Asks as few members as a bound needs: the primary, and the least loaded replicas. */
	#pollForBound(): void {
		const replicas = [...this.members.values()]
			.filter(member => member !== this.#leader && member.failingForMs(this.options.timers.nowMs()) === 0)
			.toSorted((a, b) => a.pool.inUseCount - b.pool.inUseCount);
		const asked = [...(this.#leader ? [this.#leader] : []), ...replicas].slice(0, this.#answersForBound);
		const missing = this.#answersForBound - asked.length;
		for (const member of missing > 0 ? this.members.values() : asked) {
			this.#pollOnce(member);
		}
	}

	get #answersForBound(): number {
		const tolerated = this.#limits.syncReplicas > 0 ? 1 : 0;
		return Math.max(Math.min(2, this.members.size), this.members.size - tolerated);
	}

	#leastLoadedReplica(excluded: ReadonlySet<Member>): Member | undefined {
		return [...this.members.values()]
			.filter(member => member !== this.#leader && !excluded.has(member) && member.failingForMs(this.options.timers.nowMs()) === 0)
			.toSorted((a, b) => a.pool.inUseCount - b.pool.inUseCount)[0];
	}

	#check(): void {
		const nowMs = this.options.timers.nowMs();
		void this.#floor.readIfUnknown();
		for (const member of this.members.values()) {
			if (member.missingSinceMs !== undefined && nowMs - member.missingSinceMs > missingRetentionMs) {
				this.#remove(member, 'entry-missing');
			} else if (isPollDue(member, this.#leader, nowMs)) {
				this.#pollOnce(member);
			}

			member.pool.maintain();
		}
	}

	#learn(member: Member): void {
		const status = member.status!;
		if (status.role === 'primary' && status.term >= this.#leaderTerm) {
			this.#leaderTerm = status.term;
			this.#setLeader(member, 'status');
		} else if (member === this.#leader && status.role === 'replica') {
			this.#setLeader(undefined, 'status');
		}

		if (member !== this.#leader && status.role === 'replica' && status.fencedTerm <= this.#leaderTerm && status.term <= this.#leaderTerm) {
			this.#proof.noteUnfenced(member.statusAskedAtMs);
		}

		if (member === this.#leader && status.role === 'primary' && this.isLeadershipProven(member.statusAskedAtMs)) {
			this.#bounds.add(member.statusAskedAtMs, status.received);
		}

		this.#updateBounds();
	}

	/**
	 * An acknowledged commit is at the primary and at one replica at least, so the statuses of all members but
	 * one contain one of the two.
	 */
	#updateBounds(): void {
		const answered = [...this.members.values()]
			.filter(({status}) => status !== undefined)
			.toSorted((a, b) => b.statusAskedAtMs - a.statusAskedAtMs);
		if (answered.length < this.#answersForBound) {
			return;
		}

		const asked = answered.slice(0, this.#answersForBound);
		const hasLeader = this.#leader !== undefined && asked.includes(this.#leader);
		// A replica that is gone may have been the only one to acknowledge a commit of the primary.
		const floor = this.#floor.position;
		if (!hasLeader && !floor) {
			return;
		}

		const position = highestOf([...asked.map(({status}) => status!.received), ...(floor ? [floor] : [])]);
		this.#bounds.add(asked.at(-1)!.statusAskedAtMs, position);
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
		this.#wake();
	}

	#updateMember(member: Member, endpoint: Endpoint, changedAfterMs: number): void {
		const previous = member.endpoint;
		member.endpoint = endpoint;
		member.missingSinceMs = undefined;
		member.noteState(changedAfterMs);
		if (previous.state !== endpoint.state || previous.role !== endpoint.role) {
			this.options.events.write('endpoint-changed', {
				service: this.service, endpointId: endpoint.endpointId, fromState: previous.state, toState: endpoint.state, fromRole: previous.role, toRole: endpoint.role,
			});
			this.#pollOnce(member);
			this.#wake();
		}
	}

	#add(endpoint: Endpoint, changedAfterMs: number): void {
		const member = this.options.createMember(endpoint);
		member.noteState(changedAfterMs);
		this.members.set(member.id, member);
		this.options.events.write('endpoint-appeared', {
			service: this.service, endpointId: member.id, address: endpoint.address, state: endpoint.state, role: endpoint.role, failureDomain: endpoint.failureDomain,
		});
		this.#pollOnce(member);
	}

	#remove(member: Member, reason: string): void {
		this.members.delete(member.id);
		member.pool.close();
		this.options.events.write('endpoint-gone', {service: this.service, endpointId: member.id, reason});
		if (this.#leader === member) {
			this.#setLeader(undefined, reason);
		}

		// A member that started again under its id has lost its log as well.
		if (reason === 'left' || reason === 'entry-missing' || reason === 'restarted') {
			void this.#noteDeparture(member);
		}
	}

	/** The primary's position after a member is gone bounds all that the member acknowledged. */
	async #noteDeparture(member: Member): Promise<void> {
		const known = highestOf([this.#bounds.latest ?? zeroPosition, this.#floor.position ?? zeroPosition]);
		this.#floor.forget();
		const status = await this.#leader?.control({kind: 'status'}, statusTimeoutMs);
		const isKnown = status?.role === 'primary';
		this.options.onDeparture(`${member.id}@${member.endpoint.startedUnixMs}`, isKnown ? status.received : known);
		if (isKnown) {
			this.#floor.set(status.received);
		}
	}

	#wake(): void {
		for (const waiter of this.#waiters) {
			waiter();
		}
	}
}

const highestOf = (positions: readonly LogPosition[]): LogPosition =>
	positions.toSorted((a, b) => comparePositions(b, a))[0] ?? zeroPosition;
