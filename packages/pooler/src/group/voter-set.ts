import {
	comparePositions, type LogPosition, type RandomSource, type TimerService, zeroPosition,
} from '@dogwoodthread/coordination';
import {type EventLog} from '../observability/index.js';
import {type Member} from './member.js';

/** The voters of a group as recorded at the store, and what goes with them. */
export type VoterRecord = {
	/** Incarnations whose copy of a commit counts. */
	voters: readonly string[];
	/** Position that former voters may have acknowledged. */
	floor: LogPosition;
	/** Highest term that a promoter has announced. */
	term: number;
};

/** The voters of one group at the store. Each call returns the record as it is then; undefined if the store did not confirm it. */
export type VoterRecordPort = {
	read(): Promise<VoterRecord | undefined>;
	/** Adds voters, unless a term above `primaryTerm` is announced. */
	add(incarnations: readonly string[], primaryTerm: number): Promise<VoterRecord | undefined>;
	/** Records the end of a voter, with the position that it may have acknowledged (`Departure`). */
	recordDeparture(departure: {incarnation: string; position: LogPosition; primaryTerm: number | undefined}): Promise<VoterRecord | undefined>;
};

export type VoterSetOptions = {
	service: string;
	record: VoterRecordPort;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	members: ReadonlyMap<string, Member>;
	/** Time since this host last knew the list of members to be up to date, in ms. */
	listAgeMs: () => number;
	/** The primary as known to this host, with its term; undefined if none is known. */
	primary: () => {member: Member; term: number} | undefined;
	/** Requests the status of the primary; undefined if it does not answer as the primary. */
	requestPrimaryStatus: () => Promise<{position: LogPosition; term: number} | undefined>;
	/** Highest position that this host has passed on to a client as committed. */
	highestPassed: () => LogPosition;
	onChange: () => void;
};

/** Hosts see a change of the members at the same time. Random delays let one of them record it before the others try. */
const maxDepartureDelayMs = 100;
const maxAdditionDelayMs = 500;
const retryIntervalMs = 1000;
const readIntervalMs = 500;
/** A voter that this host has never met and that no list shows for this long has ended while the host was not running, in ms. */
const unknownVoterTimeoutMs = 12_000;

/**
 * The voters of a group: the members whose copy of a commit counts.
 *
 * A commit is passed on to a client once the primary and another voter have it. A promotion needs the logs of all voters
 * but one, so it meets one of the two. Voters are recorded at the store in the object in which a promoter announces
 * its term, and change only while no later term is announced than that of the present primary. So a promoter judges
 * by every voter that a host may have counted before. A voter that has ended leaves the set together with the position
 * that it may have acknowledged. See docs/design.md, "Voters".
 */
export class VoterSet {
	#record: VoterRecord | undefined;
	/** Every commit that was passed on before this time is covered by the voters and the floor of `#record`. */
	#recordRequestedAtMs = Number.NEGATIVE_INFINITY;
	/** Lowest announced term with which a record showed the voter, by incarnation. Promoters of later terms judge by it. */
	readonly #sinceTerm = new Map<string, number>();
	/** Voters that are no members here, and since when, in monotonic ms. */
	readonly #absentSinceMs = new Map<string, number>();
	/** Voters that have certainly ended, because this host has removed them from the members. */
	readonly #ended = new Set<string>();
	/** Earliest time of the next call, by purpose, in monotonic ms. */
	readonly #dueAtMs = new Map<'read' | 'add' | 'depart', number>();
	#isBusy = false;

	constructor(private readonly options: VoterSetOptions) {}

	get isKnown(): boolean {
		return this.#record !== undefined;
	}

	get size(): number {
		return this.#record?.voters.length ?? 0;
	}

	get floor(): LogPosition {
		return this.#record?.floor ?? zeroPosition;
	}

	/** Highest term that a promoter had announced when the record was last read. */
	get announcedTerm(): number {
		return this.#record?.term ?? 0;
	}

	includes(member: Member): boolean {
		return this.#record?.voters.includes(member.incarnation) ?? false;
	}

	/** Whether the member was a voter before any term above `term` was announced, so that every promoter of such a term judges by it. */
	isWitness(member: Member, term: number): boolean {
		return this.includes(member) && this.#sinceTerm.get(member.incarnation)! <= term;
	}

	/**
	 * Until when the record covers all commits that were passed on, in monotonic ms. While every listed member is a voter,
	 * this host knows of none that another host may have added since.
	 */
	coveredUntilMs(nowMs: number): number {
		const isListCovered = [...this.options.members.values()].every(member => this.includes(member));
		return Math.max(this.#recordRequestedAtMs, isListCovered ? nowMs - this.options.listAgeMs() : Number.NEGATIVE_INFINITY);
	}

	/** For how long a voter has counted as ended, in ms; 0 if it does not. */
	goneForMs(incarnation: string, nowMs: number): number {
		const absentSinceMs = this.#absentSinceMs.get(incarnation) ?? nowMs;
		return Math.max(0, nowMs - absentSinceMs - (this.#ended.has(incarnation) ? 0 : unknownVoterTimeoutMs));
	}

	/** Whether a voter can acknowledge nothing any more. */
	hasEnded(incarnation: string, nowMs: number): boolean {
		return this.#ended.has(incarnation) || this.goneForMs(incarnation, nowMs) > 0;
	}

	/** Call when a member has ended: it can acknowledge nothing any more. */
	recordEnd(member: Member): void {
		this.#ended.add(member.incarnation);
		this.#schedule('depart', this.options.random() * maxDepartureDelayMs);
	}

	/** Keeps the record up to date. Call it at short intervals. */
	async reconcile(): Promise<void> {
		const nowMs = this.options.timers.nowMs();
		this.#trackAbsentVoters(nowMs);
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		try {
			await this.#runDueCall(nowMs);
		} finally {
			this.#isBusy = false;
		}
	}

	async #runDueCall(nowMs: number): Promise<void> {
		const {record, members, primary, highestPassed} = this.options;
		const departed = [...this.#absentSinceMs.keys()].find(incarnation => this.hasEnded(incarnation, nowMs));
		const unlisted = this.#unlistedVoters();
		const present = primary();
		// An instance that has not joined the present term may be fenced for a promotion that is under way.
		const newcomers = [...members.values()].filter(member => !this.includes(member) && (!present || member.status?.term === present.term));
		if (departed === undefined && unlisted.length < 2) {
			this.#dueAtMs.delete('depart');
		}

		if (newcomers.length === 0) {
			this.#dueAtMs.delete('add');
		}

		if (!this.#record) {
			await this.#call('read', nowMs, async () => record.read());
		} else if (departed !== undefined && this.#isDue('depart', nowMs, maxDepartureDelayMs)) {
			await this.#recordDeparture(departed, nowMs);
		} else if (unlisted.length > 1 && comparePositions(highestPassed(), this.floor) > 0 && this.#isDue('depart', nowMs, maxDepartureDelayMs)) {
			// Another host may count them as lost, and then promotes a member that has reached the floor.
			await this.#call('depart', nowMs, async () => record.recordDeparture({incarnation: unlisted[0]!, position: highestPassed(), primaryTerm: undefined}));
		} else if (newcomers.length > 0 && present && this.#isDue('add', nowMs, maxAdditionDelayMs)) {
			await this.#call('add', nowMs, async () => record.add(newcomers.map(({incarnation}) => incarnation), present.term));
		} else if (!present || present.member.failingForMs(nowMs) > 0) {
			// Bounds of commits rest on the voters as of this call while no primary gives them.
			await this.#call('read', nowMs, async () => record.read());
		}
	}

	/** The position is requested after the end of the voter, so it includes all that the voter has acknowledged. */
	async #recordDeparture(incarnation: string, nowMs: number): Promise<void> {
		const {record, requestPrimaryStatus, highestPassed, events, service} = this.options;
		const status = await requestPrimaryStatus();
		const position = status?.position ?? highestPassed();
		await this.#call('depart', nowMs, async () => record.recordDeparture({incarnation, position, primaryTerm: status?.term}));
		const isRecorded = !this.#record?.voters.includes(incarnation);
		events.write(isRecorded ? 'departure-recorded' : 'departure-pending', {
			service, endpointId: incarnation, floor: `${position.term}.${position.index}`, primaryTerm: status?.term, announcedTerm: this.announcedTerm,
		});
	}

	async #call(purpose: 'read' | 'add' | 'depart', nowMs: number, request: () => Promise<VoterRecord | undefined>): Promise<void> {
		if (!this.#isDue(purpose, nowMs, 0)) {
			return;
		}

		this.#dueAtMs.set(purpose, nowMs + (purpose === 'read' ? readIntervalMs : retryIntervalMs));
		const answer = await request();
		if (answer) {
			this.#apply(answer, nowMs);
		}
	}

	#apply(record: VoterRecord, requestedAtMs: number): void {
		const previous = this.#record;
		this.#record = record;
		this.#recordRequestedAtMs = requestedAtMs;
		for (const incarnation of this.#ended) {
			if (!record.voters.includes(incarnation)) {
				this.#ended.delete(incarnation);
			}
		}

		for (const voter of record.voters) {
			this.#sinceTerm.set(voter, Math.min(record.term, this.#sinceTerm.get(voter) ?? Number.POSITIVE_INFINITY));
		}

		for (const voter of [...this.#sinceTerm.keys()].filter(known => !record.voters.includes(known))) {
			this.#sinceTerm.delete(voter);
		}

		const {events, service, onChange} = this.options;
		if (previous?.voters.join(' ') !== record.voters.join(' ') || comparePositions(previous.floor, record.floor) !== 0) {
			events.write('voters-changed', {
				service, voters: record.voters.join(' '), floor: `${record.floor.term}.${record.floor.index}`, announcedTerm: record.term,
			});
			onChange();
		}
	}

	#trackAbsentVoters(nowMs: number): void {
		const present = new Set([...this.options.members.values()].map(({incarnation}) => incarnation));
		const absent = this.#record?.voters.filter(voter => !present.has(voter)) ?? [];
		for (const voter of [...this.#absentSinceMs.keys()].filter(known => !absent.includes(known))) {
			this.#absentSinceMs.delete(voter);
		}

		for (const voter of absent.filter(found => !this.#absentSinceMs.has(found))) {
			this.#absentSinceMs.set(voter, nowMs);
		}
	}

	/** Voters without an entry in the list, whether or not they answer this host. */
	#unlistedVoters(): string[] {
		const listed = new Set([...this.options.members.values()].filter(({missingSinceMs}) => missingSinceMs === undefined).map(({incarnation}) => incarnation));
		return this.#record?.voters.filter(voter => !listed.has(voter)) ?? [];
	}

	/** The first question for a purpose starts a random delay. */
	#isDue(purpose: 'read' | 'add' | 'depart', nowMs: number, maxDelayMs: number): boolean {
		if (!this.#dueAtMs.has(purpose)) {
			this.#schedule(purpose, this.options.random() * maxDelayMs);
		}

		return nowMs >= this.#dueAtMs.get(purpose)!;
	}

	#schedule(purpose: 'read' | 'add' | 'depart', delayMs: number): void {
		this.#dueAtMs.set(purpose, this.options.timers.nowMs() + delayMs);
	}
}

/** Whether a log that ends at `received` has the commit at `position`: it has then received it in the term that wrote it. */
export const holdsCommit = (received: LogPosition, position: LogPosition): boolean =>
	received.term === position.term && received.index >= position.index;
