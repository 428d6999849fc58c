import {type Member, type MemberListener} from '../definitions.js';
import {combineDigests, digestMember, type MemberDigest} from '../domain/table-digest.js';

type Entry = {member: Member; stateSinceMs: number; digest: MemberDigest | undefined};

/** The known members by host, this process included. */
export class MemberTable {
	readonly #entries = new Map<string, Entry>();
	readonly #listeners = new Set<MemberListener>();
	#list: readonly Member[] | undefined;
	// Kept apart from the list, since document versions change far more often than states.
	#others: readonly string[] | undefined;
	#dead: readonly string[] | undefined;

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

	/** Hosts other than this one that are not dead. */
	others(): readonly string[] {
		this.#others ??= this.#hostIds(member => member.state !== 'dead');
		return this.#others;
	}

	dead(): readonly string[] {
		this.#dead ??= this.#hostIds(member => member.state === 'dead');
		return this.#dead;
	}

	set(member: Member): void {
		const entry = this.#entries.get(member.hostId);
		const previous = entry?.member;
		const sameState = previous?.state === member.state;
		const stateSinceMs = entry && sameState ? entry.stateSinceMs : this.nowMs();
		this.#entries.set(member.hostId, {member, stateSinceMs, digest: undefined});
		this.#changed(!sameState);
		for (const listener of this.#listeners) {
			listener(member, previous);
		}
	}

	/** Digest of each bucket. */
	digests(): number[] {
		return combineDigests([...this.#entries.values()].map(entry => this.#digest(entry)));
	}

	inBuckets(buckets: ReadonlySet<number>): Member[] {
		return [...this.#entries.values()].filter(entry => buckets.has(this.#digest(entry).bucket)).map(entry => entry.member);
	}

	/** Removes the members that have been dead for longer than `retentionMs`. */
	removeDead(retentionMs: number): void {
		const boundMs = this.nowMs() - retentionMs;
		const expired = this.dead().filter(hostId => this.#entries.get(hostId)!.stateSinceMs < boundMs);
		for (const hostId of expired) {
			this.#entries.delete(hostId);
			this.#changed(true);
		}
	}

	onChange(listener: MemberListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#digest(entry: Entry): MemberDigest {
		entry.digest ??= digestMember(entry.member);
		return entry.digest;
	}

	#hostIds(filter: (member: Member) => boolean): string[] {
		return this.list().filter(member => member.hostId !== this.selfId && filter(member)).map(member => member.hostId);
	}

	#changed(stateChanged: boolean): void {
		this.#list = undefined;
		if (stateChanged) {
			this.#others = undefined;
			this.#dead = undefined;
		}
	}
}
