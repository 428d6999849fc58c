import {type TimerService} from '@dogwoodthread/coordination';
import {
	type LogEntry, type MemberStatus, type Position, type PrimaryAddress, type Refusal, type Role,
} from '../definitions.js';
import {ReplicatedLog} from '../domain/log.js';
import {type KeyLimits, RequestKeys} from '../domain/request-keys.js';
import {Tables} from '../domain/tables.js';
import {DelayLine} from './delay-line.js';
import {type Faults} from './faults.js';

export type GroupMemberOptions = {
	memberId: string;
	timers: TimerService;
	faults: Faults;
	keyLimits: KeyLimits;
	/** Silence of the primary after which a replica reports no contact, in ms. */
	replicationTimeoutMs: number;
};

/** The primary that a replica pulls from, and its term. */
export type Following = PrimaryAddress & {term: number};

/**
 * State of one instance of a group: role, terms, log and rows. All methods are synchronous, so a
 * check and the change that depends on it are never interleaved with a change of term.
 */
export class GroupMember {
	readonly log = new ReplicatedLog();
	#tables = new Tables();
	#keys: RequestKeys;
	#role: Role = 'replica';
	#fencedTerm = 0;
	#verifiedTerm = 0;
	#following: Following | undefined;
	#appliedIndex = 0;
	#heardAtMs = Number.NEGATIVE_INFINITY;
	#notedContact = false;
	readonly #listeners = new Set<() => void>();
	readonly #applyLine: DelayLine<number>;

	constructor(private readonly options: GroupMemberOptions) {
		const {timers, faults, keyLimits} = options;
		this.#keys = new RequestKeys(keyLimits);
		this.#applyLine = new DelayLine({
			timers,
			delayMs: () => faults.values.applyLagMs,
			deliver: index => {
				this.#applyUpTo(index);
				this.#changed();
			},
		});
		faults.onChange(() => {
			this.#applyLine.rearm();
		});
	}

	get tables(): Tables {
		return this.#tables;
	}

	get keys(): RequestKeys {
		return this.#keys;
	}

	get fencedTerm(): number {
		return this.#fencedTerm;
	}

	get following(): Following | undefined {
		return this.#following;
	}

	get applied(): Position {
		return this.log.positionAt(this.#appliedIndex);
	}

	get status(): MemberStatus {
		return {
			role: this.#role,
			fencedTerm: this.#fencedTerm,
			verifiedTerm: this.#verifiedTerm,
			received: this.log.last,
			applied: this.applied,
			primaryContact: this.#role === 'primary' || this.#heardRecently(),
		};
	}

	/** Calls `listener` after each change of the state; gives the function that ends this. */
	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Refuses all terms below the given one from now on. */
	fence(term: number): boolean {
		if (term < this.#fencedTerm) {
			return false;
		}

		if (term > this.#fencedTerm) {
			this.#enterTerm(term);
			this.#changed();
		}

		return true;
	}

	/** Makes the instance the primary of a term and writes the term-start entry; refuses lower and taken terms, and after a loss of the log. */
	promote(term: number): boolean {
		if (this.#role === 'primary' && term === this.#fencedTerm) {
			return true;
		}

		// A log that is empty after the first term was lost in a restart; replicas would drop acknowledged entries to match it.
		const lostLog = term > 1 && this.log.last.index === 0;
		if (term < this.#fencedTerm || term <= this.log.last.term || this.#following?.term === term || lostLog) {
			return false;
		}

		this.#enterTerm(term);
		this.#role = 'primary';
		this.#verifiedTerm = term;
		this.#applyLine.clear();
		// Applies what was received but still waits for the apply lag, too.
		this.#append({kind: 'term-start', changes: []});
		return true;
	}

	/** Makes the instance a replica of the primary of a term; refuses lower terms and another primary of the same term. */
	follow(term: number, primary: PrimaryAddress): boolean {
		if (term < this.#fencedTerm || primary.memberId === this.options.memberId || this.#hasOtherPrimary(term, primary.memberId)) {
			return false;
		}

		if (term > this.#fencedTerm) {
			this.#enterTerm(term);
		}

		if (this.#following?.address !== primary.address) {
			this.#following = {...primary, term};
		}

		this.#changed();
		return true;
	}

	/** Says why the instance may not write in a term, if so. */
	refusalOf(term: number): Refusal | undefined {
		if (term < this.#fencedTerm) {
			return {code: 'stale-term', message: `Term ${term} is over; the group is at term ${this.#fencedTerm}. Read the group record again.`};
		}

		return this.#role === 'primary' && term === this.#fencedTerm
			? undefined
			: {code: 'not-primary', message: `${this.options.memberId} is not the primary of term ${term}. Read the group record again.`};
	}

	/** Appends and applies an entry in a term, or says why not. Checks the term in the same step. */
	commit(term: number, body: Pick<LogEntry, 'changes' | 'requestKey'>): Position | Refusal {
		return this.refusalOf(term) ?? this.#append({kind: 'commit', ...body});
	}

	/** Takes over entries of the primary of a term. Ignored after a fence. */
	receive(term: number, entries: LogEntry[]): void {
		if (!this.#accepts(term)) {
			return;
		}

		for (const entry of entries) {
			this.log.append(entry);
		}

		this.#applyLine.push(this.log.last.index);
		this.#changed();
	}

	/** Drops entries that the primary of a term does not have and rebuilds the rows without them. */
	truncate(term: number, index: number): void {
		if (!this.#accepts(term) || index >= this.log.last.index) {
			return;
		}

		this.log.truncate(index);
		this.#applyLine.clear();
		const appliedIndex = Math.min(index, this.#appliedIndex);
		this.#tables = new Tables();
		this.#keys = new RequestKeys(this.options.keyLimits);
		this.#appliedIndex = 0;
		this.#applyUpTo(appliedIndex);
		this.#applyLine.push(index);
		this.#changed();
	}

	/** Records an answer of the primary of a term, and whether the log was found to match it. */
	heard(term: number, verified: boolean): void {
		if (!this.#accepts(term)) {
			return;
		}

		this.#heardAtMs = this.options.timers.nowMs();
		this.#verifiedTerm = verified ? term : this.#verifiedTerm;
		this.#changed();
	}

	/** Tells the listeners when the contact to the primary was lost or found since the last call. */
	noteContact(): void {
		const {primaryContact} = this.status;
		if (primaryContact !== this.#notedContact) {
			this.#notedContact = primaryContact;
			this.#changed();
		}
	}

	#hasOtherPrimary(term: number, memberId: string): boolean {
		const known = this.#role === 'primary' ? this.options.memberId : this.#following?.memberId;
		return term === this.#fencedTerm && known !== undefined && known !== memberId;
	}

	#accepts(term: number): boolean {
		return this.#following?.term === term && this.#fencedTerm === term;
	}

	#enterTerm(term: number): void {
		this.#fencedTerm = term;
		this.#role = 'replica';
		this.#following = undefined;
		this.#heardAtMs = Number.NEGATIVE_INFINITY;
	}

	#append(body: Omit<LogEntry, 'term' | 'index'>): Position {
		const position = {term: this.#fencedTerm, index: this.log.last.index + 1};
		this.log.append({...position, ...body});
		this.#applyUpTo(position.index);
		this.#changed();
		return position;
	}

	#applyUpTo(index: number): void {
		for (const entry of this.log.after(this.#appliedIndex, index - this.#appliedIndex)) {
			this.#tables.apply(entry.changes, entry.index);
			if (entry.requestKey) {
				this.#keys.record(entry.requestKey, entry);
			}

			this.#appliedIndex = entry.index;
		}
	}

	#heardRecently(): boolean {
		return this.options.timers.nowMs() - this.#heardAtMs <= this.options.replicationTimeoutMs;
	}

	#changed(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
