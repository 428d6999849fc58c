import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {
	ConfirmationTracker, type ControlError, type GroupControl, type GroupMember, type LogPosition, ManualTimerService,
	MemoryPlatform, type MemberStatus, type ObjectKind, type Platform, type PlatformError, PromotePrimary, type PromotionRequest,
} from '../../src/index.js';

/** Log entry; its index is its position in the log, counted from 1. */
type Entry = {term: number; id: number};

const isSameEntry = (a: Entry | undefined, b: Entry | undefined) => a?.id === b?.id;

/** An instance that follows the rules of the design for terms, fencing and replication. */
export class FakeMember {
	log: Entry[] = [];
	fencedTerm = 0;
	verifiedTerm = 0;
	role: MemberStatus['role'] = 'replica';
	following: {term: number; memberId: string} | undefined;
	/** Whether control and replication calls to this member fail. */
	down = false;

	constructor(readonly memberId: string) {}

	get last(): LogPosition {
		return {term: this.log.at(-1)?.term ?? 0, index: this.log.length};
	}

	get status(): MemberStatus {
		const {memberId, role, fencedTerm, verifiedTerm, last} = this;
		return {
			memberId, role, fencedTerm, verifiedTerm, received: last, applied: last, primaryContact: true, leaving: false, slots: 5, busySlots: 0,
		};
	}

	/** Restarts the member without its log; the fenced term is lost as well. */
	restartWithoutLog(): void {
		Object.assign(this, new FakeMember(this.memberId));
	}

	enterTerm(term: number): void {
		if (term > this.fencedTerm) {
			this.fencedTerm = term;
			this.role = 'replica';
			this.following = undefined;
		}
	}
}

/** A proxy's view of the group. The status reports of a member arrive in order, each when the test delivers it. */
export class ConfirmationObserver {
	readonly tracker: ConfirmationTracker;
	/** Highest index that this proxy has acknowledged, by term. */
	readonly acknowledged = new Map<number, number>();
	readonly queues = new Map<string, MemberStatus[]>();

	constructor(groupSize: number) {
		this.tracker = new ConfirmationTracker(groupSize);
	}

	deliver(memberId: string): void {
		const status = this.queues.get(memberId)?.shift();
		if (!status) {
			return;
		}

		if (status.role === 'primary' && status.fencedTerm === status.verifiedTerm) {
			this.tracker.setTerm(status.verifiedTerm);
		}

		this.tracker.report(status);
		this.acknowledged.set(this.tracker.term, this.tracker.confirmedIndex);
	}

	deliverAll(): void {
		for (const [memberId, queue] of this.queues) {
			while (queue.length > 0) {
				this.deliver(memberId);
			}
		}
	}
}

/**
 * A group in memory with its record at a platform, and the history needed to check property P2: a term has at
 * most one primary, no later term lacks an acknowledged entry, and a write run after a majority of the members
 * has refused its term is never acknowledged.
 */
export class FakeGroup implements GroupControl {
	readonly platform = new MemoryPlatform();
	readonly members: FakeMember[];
	/** One proxy that receives reports promptly, and one that has been paused. */
	readonly prompt: ConfirmationObserver;
	readonly paused: ConfirmationObserver;
	/** By term: all entries that its primary ever had, and the members that were its primary. */
	readonly termLogs = new Map<number, Entry[]>();
	readonly primaries = new Map<number, Set<string>>();
	readonly #replacedWrites: Array<{term: number; index: number}> = [];
	#nextId = 1;

	/** Primary `a` serves in term 1; the log of the n-th member has `indexes[n]` entries. */
	constructor(indexes: readonly number[] = [3, 3, 2], readonly memberIds: readonly string[] = ['a', 'b', 'c']) {
		this.prompt = new ConfirmationObserver(memberIds.length);
		this.paused = new ConfirmationObserver(memberIds.length);
		const entries = Array.from({length: indexes[memberIds.indexOf('a')]!}, (_, index) => ({term: 1, id: -index}));
		this.termLogs.set(1, entries);
		this.primaries.set(1, new Set(['a']));
		this.members = memberIds.map((memberId, memberIndex) => {
			const role = memberId === 'a' ? {role: 'primary'} : {following: {term: 1, memberId: 'a'}};
			const member = Object.assign(new FakeMember(memberId), {log: entries.slice(0, indexes[memberIndex]), fencedTerm: 1, verifiedTerm: 1}, role) as FakeMember;
			this.#reportStatus(member);
			return member;
		});
		this.record(1);
	}

	get groupMembers(): GroupMember[] {
		return this.memberIds.map(memberId => ({
			memberId, address: `${memberId}:1`, replicationAddress: `${memberId}:2`, failureDomain: memberId,
		}));
	}

	/** Writes the group record of an established term with primary `a`. */
	record(term: number): void {
		const record = {database: 'ledger', members: this.groupMembers, primary: 'a'};
		void this.platform.put('groups', 'ledger', {
			...record, term, phase: 'established', changeId: `start-${term}`,
		}, term - 1);
	}

	member(memberId: string): FakeMember {
		return this.members.find(member => member.memberId === memberId)!;
	}

	async fence(_database: string, {memberId}: GroupMember, term: number) {
		return this.#control(memberId, term, member => {
			member.enterTerm(term);
			return true;
		});
	}

	async promote(_database: string, {memberId}: GroupMember, term: number) {
		return this.#control(memberId, term, member => {
			// A log that is empty after the first term has been lost; following members would truncate theirs to match.
			if (term <= member.last.term || member.following?.term === term || (term > 1 && member.log.length === 0)) {
				return member.role === 'primary' && member.fencedTerm === term;
			}

			member.enterTerm(term);
			member.role = 'primary';
			member.verifiedTerm = term;
			this.termLogs.set(term, [...member.log]);
			this.#append(member);
			return true;
		});
	}

	async follow(_database: string, {memberId}: GroupMember, term: number, primary: GroupMember) {
		return this.#control(memberId, term, member => {
			member.enterTerm(term);
			if (member.role === 'primary' || (member.following && member.following.memberId !== primary.memberId)) {
				return false;
			}

			member.following = {term, memberId: primary.memberId};
			return true;
		});
	}

	/** Runs a write that a proxy sends in a term. Returns false if the member is not the primary of that term. */
	write(memberId: string, term: number): boolean {
		const member = this.member(memberId);
		if (member.role !== 'primary' || member.fencedTerm !== term) {
			return false;
		}

		const replaced = this.members.filter(({fencedTerm}) => fencedTerm > term).length * 2 > this.members.length;
		this.#append(member);
		if (replaced) {
			this.#replacedWrites.push(member.last);
		}

		return true;
	}

	/** Lets a replica fetch one entry from its primary, after truncating its log where it differs. */
	replicateEntry(memberId: string): void {
		const member = this.member(memberId);
		const source = member.following && this.member(member.following.memberId);
		if (!source || member.down || source.down || source.role !== 'primary' || source.fencedTerm !== member.fencedTerm) {
			return;
		}

		const common = member.log.findIndex((entry, index) => !isSameEntry(entry, source.log[index]));
		member.log = common === -1 ? member.log : member.log.slice(0, common);
		member.log.push(...source.log.slice(member.log.length, member.log.length + 1));
		member.verifiedTerm = member.fencedTerm;
		this.#reportStatus(member);
	}

	/** Lets each member that is a primary write a few entries, and all replicas catch up. */
	writeAndReplicate(): void {
		for (let round = 0; round < 12; round += 1) {
			for (const {memberId, fencedTerm} of this.members) {
				if (round < 3) {
					this.write(memberId, fencedTerm);
				}

				this.replicateEntry(memberId);
			}
		}
	}

	/** Violations of property P2 so far; empty if it holds. */
	violations(): string[] {
		this.prompt.deliverAll();
		this.paused.deliverAll();
		const acknowledged = [this.prompt, this.paused].flatMap(observer => [...observer.acknowledged]);
		return [
			...[...this.primaries].filter(([, ids]) => ids.size > 1).map(([term]) => `term ${term} had two primaries`),
			...acknowledged.flatMap(([term, index]) => [...this.termLogs]
				.filter(([later, log]) => later > term && !(this.termLogs.get(term) ?? []).slice(0, index).every((entry, entryIndex) => isSameEntry(entry, log[entryIndex])))
				.map(([later]) => `${term}/${index} was acknowledged and is lost in term ${later}`)),
			...this.#replacedWrites
				.filter(write => acknowledged.some(([term, index]) => term === write.term && index >= write.index))
				.map(({term, index}) => `${term}/${index} was acknowledged after a majority refused term ${term}`),
		];
	}

	async #control(memberId: string, term: number, effect: (member: FakeMember) => boolean) {
		const member = this.member(memberId);
		if (member.down) {
			return err<never, ControlError>({kind: 'unreachable', message: memberId});
		}

		const accepted = term >= member.fencedTerm && effect(member);
		this.#reportStatus(member);
		return ok({accepted, fencedTerm: member.fencedTerm, last: member.last});
	}

	#append(member: FakeMember): void {
		const {fencedTerm: term, memberId} = member;
		const entry = {term, id: this.#nextId};
		this.#nextId += 1;
		member.log = [...member.log, entry];
		this.termLogs.get(term)!.push(entry);
		this.primaries.set(term, (this.primaries.get(term) ?? new Set()).add(memberId));
		this.#reportStatus(member);
	}

	#reportStatus(member: FakeMember): void {
		for (const {queues} of [this.prompt, this.paused]) {
			queues.set(member.memberId, [...queues.get(member.memberId) ?? [], member.status]);
		}
	}
}

export const steps = ['read', 'fencing', 'fence', 'promoting', 'promote', 'follow', 'established'] as const;
export type Step = typeof steps[number];
export type HookTiming = 'before' | 'after';

/** Runs before and after each call of a promoter. `lose` drops the request (before) or the response (after). */
export type Hook = (step: Step, timing: HookTiming, memberId: string) => Promise<'lose' | undefined>;

const lostResponse: PlatformError = {kind: 'unavailable', message: 'answer lost', outcomeKnown: false};

/** Runs a promotion and invokes the hook around each of its calls. */
export const promote = async (group: FakeGroup, hostId: string, hook: Hook, overrides: Partial<PromotionRequest> = {}) => {
	const around = async <T, E>(step: Step, memberId: string, lost: E, call: () => PromiseLike<Result<T, E>>): Promise<Result<T, E>> => {
		if (await hook(step, 'before', memberId) === 'lose') {
			return err(lost);
		}

		const result = await call();
		return await hook(step, 'after', memberId) === 'lose' ? err(lost) : result;
	};

	const unreachable: ControlError = {kind: 'unreachable', message: 'answer lost'};
	const {platform} = group;
	let changes = 0;
	const hooked = Object.assign(Object.create(platform) as Platform, {
		get: (kind: ObjectKind, name: string) => new ResultAsync(around('read', '', lostResponse, () => platform.get(kind, name))),
		put: (kind: ObjectKind, name: string, value: unknown, version: number) =>
			new ResultAsync(around((value as {phase: Step}).phase, '', lostResponse, () => platform.put(kind, name, value, version))),
	});
	return new PromotePrimary({
		platform: hooked,
		control: {
			fence: async (database, member, term) => around('fence', member.memberId, unreachable, async () => group.fence(database, member, term)),
			promote: async (database, member, term) => around('promote', member.memberId, unreachable, async () => group.promote(database, member, term)),
			follow: async (database, member, term, primary) => around('follow', member.memberId, unreachable, async () => group.follow(database, member, term, primary)),
		},
		timers: new ManualTimerService(),
		hostId,
		newChangeId() {
			changes += 1;
			return `${hostId}-${changes}`;
		},
	}).run({
		database: 'ledger', replaces: 'a', observedTerm: 1, avoidedMemberIds: [], excludedMemberIds: [], ...overrides,
	});
};

export const withoutFaults: Hook = async () => undefined;

/** Waits until pending promise callbacks have run. */
export const flushPromises = async () => {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
};

/** Summarizes the result of a promotion for snapshots and messages. */
export const outcomeOf = (result: Awaited<ReturnType<typeof promote>>): string =>
	result.match(({primary, term}) => `${primary} in term ${term}`, ({kind}) => kind);
