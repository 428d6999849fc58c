import {type Member, type MemberListener} from '../definitions.js';
import {combineDigests, digestMember, type MemberDigest} from '../domain/table-digest.js';

type TableEntry = {member: Member; stateSinceMs: number; digest: MemberDigest | undefined};

/** All known members by host id, including this process. */
export class MemberTable {
	readonly #entries = new Map<string, TableEntry>();
	readonly #listeners = new Set<MemberListener>();
	#list: readonly Member[] | undefined;
	// Cached separately from the list, since document versions change far more often than states.
	#livePeerIds: readonly string[] | undefined;
	#deadPeerIds: readonly string[] | undefined;

	constructor(private readonly selfId: string, private readonly nowMs: () => number) {}

	get size(): number {
		return this.#entries.size;
	}

	get(hostId: string): Member | undefined {
		return this.#entries.get(hostId)?.member;
	}

	list(): readonly Member[] {
		this.#list ??= [...this.#entries.values()].map(entry => entry.member);
		return this.#list;
	}

	/** Host ids of the members that are not dead, without this one. */
	livePeerIds(): readonly string[] {
		this.#livePeerIds ??= this.#selectPeerIds(member => member.state !== 'dead');
		return this.#livePeerIds;
	}

	deadPeerIds(): readonly string[] {
		this.#deadPeerIds ??= this.#selectPeerIds(member => member.state === 'dead');
		return this.#deadPeerIds;
	}

	set(member: Member): void {
		const entry = this.#entries.get(member.hostId);
		const previous = entry?.member;
		const hasSameState = previous?.state === member.state;
		const stateSinceMs = entry && hasSameState ? entry.stateSinceMs : this.nowMs();
		this.#entries.set(member.hostId, {member, stateSinceMs, digest: undefined});
		this.#invalidateCaches(!hasSameState);
		for (const listener of this.#listeners) {
			listener(member, previous);
		}
	}

	/** Digest of each bucket. */
	bucketDigests(): number[] {
		return combineDigests([...this.#entries.values()].map(entry => this.#getDigest(entry)));
	}

	membersInBuckets(buckets: ReadonlySet<number>): Member[] {
		return [...this.#entries.values()].filter(entry => buckets.has(this.#getDigest(entry).bucket)).map(entry => entry.member);
	}

	/** Removes members that have been dead for longer than `retentionMs`. */
	removeExpiredDeadMembers(retentionMs: number): void {
		const oldestKeptMs = this.nowMs() - retentionMs;
		const expired = this.deadPeerIds().filter(hostId => this.#entries.get(hostId)!.stateSinceMs < oldestKeptMs);
		for (const hostId of expired) {
			this.#entries.delete(hostId);
			this.#invalidateCaches(true);
		}
	}

	onChange(listener: MemberListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#getDigest(entry: TableEntry): MemberDigest {
		entry.digest ??= digestMember(entry.member);
		return entry.digest;
	}

	#selectPeerIds(filter: (member: Member) => boolean): string[] {
		return this.list().filter(member => member.hostId !== this.selfId && filter(member)).map(member => member.hostId);
	}

	#invalidateCaches(hasStateChanged: boolean): void {
		this.#list = undefined;
		if (hasStateChanged) {
			this.#livePeerIds = undefined;
			this.#deadPeerIds = undefined;
		}
	}
}
