import {
	ConfirmationTracker, type GroupMember, type MemberStatus, PositionSamples, type Admission,
} from '@dogwoodthread/coordination';
import {type OwnerOptions} from '../definitions.js';
import {ConnectionPool} from './connection-pool.js';
import {MemberMonitor} from './member-monitor.js';

/** One instance of the group, with the owner's monitor, connections and admission queue for it. */
export type Instance = {
	member: GroupMember;
	monitor: MemberMonitor;
	pool: ConnectionPool;
	admission: Admission;
};

/** The owner's view of a group, updated by the monitors of its instances. */
export class GroupState {
	readonly tracker: ConfirmationTracker;
	readonly positionSamples = new PositionSamples();
	readonly instances: ReadonlyMap<string, Instance>;
	/** Last member that reported itself as primary; it may have been fenced since. */
	#primaryId: string | undefined;
	#primaryLostSinceMs: number | undefined;

	constructor(private readonly options: OwnerOptions) {
		this.tracker = new ConfirmationTracker(options.members.length);
		this.#primaryLostSinceMs = options.timers.nowMs();
		this.instances = new Map(options.members.map(member => [member.memberId, this.#createInstance(member)]));
	}

	/** Primary of the tracked term; undefined unless it is known to be serving. */
	get primary(): Instance | undefined {
		return this.#primaryId !== undefined && this.#primaryLostSinceMs === undefined
			? this.instances.get(this.#primaryId)
			: undefined;
	}

	/** Primary of the tracked term, whether or not it is still serving. */
	get lastPrimary(): Instance | undefined {
		return this.#primaryId === undefined ? undefined : this.instances.get(this.#primaryId);
	}

	/** Monotonic time since which no serving primary is known; undefined while one is. */
	get primaryLostSinceMs(): number | undefined {
		return this.#primaryLostSinceMs;
	}

	isLeaving({member, monitor}: Instance): boolean {
		return monitor.health.status?.leaving === true || this.options.isListedAsLeaving(member.memberId);
	}

	start(): void {
		for (const {monitor} of this.instances.values()) {
			void monitor.run();
		}
	}

	stop(): void {
		for (const {monitor, pool, admission} of this.instances.values()) {
			monitor.stop();
			admission.close();
			pool.close();
		}
	}

	/** Makes the monitors ping at the full rate, because a request is being served. */
	recordUse(): void {
		for (const {monitor} of this.instances.values()) {
			monitor.recordUse();
		}
	}

	/** Applies the current limits of the policy to the admission queues and connection pools. */
	applyPolicy(): void {
		for (const {pool, admission} of this.instances.values()) {
			admission.setLimits(this.options.policy.admission);
			pool.resize();
		}
	}

	/** Upper bound on the staleness of an instance's data; undefined if unknown. */
	ageBoundMs({verifiedTerm, applied}: MemberStatus): number | undefined {
		return this.positionSamples.ageBoundMs(verifiedTerm, applied.index, this.options.timers.nowMs());
	}

	#createInstance(member: GroupMember): Instance {
		const monitor = new MemberMonitor(
			this.options,
			member,
			(from, status, requestedAtMs) => {
				this.#acceptStatus(from, status, requestedAtMs);
			},
			from => {
				this.#markUnreachable(from);
			},
		);
		return {
			member,
			monitor,
			pool: new ConnectionPool(this.options, member),
			admission: this.options.createAdmission(this.options.policy.admission),
		};
	}

	#acceptStatus({memberId}: GroupMember, status: MemberStatus, requestedAtMs: number | undefined): void {
		// Only the primary named by the platform's group record is ever promoted in a term, so the status
		// of an unfenced primary is sufficient proof of its term.
		const isServingPrimary = status.role === 'primary' && status.fencedTerm === status.verifiedTerm;
		if (isServingPrimary && status.verifiedTerm >= this.tracker.term) {
			this.tracker.setTerm(status.verifiedTerm);
			this.#primaryId = memberId;
			this.#primaryLostSinceMs = undefined;
		} else if (memberId === this.#primaryId) {
			this.#primaryLostSinceMs ??= this.options.timers.nowMs();
		}

		this.tracker.report(status);
		if (isServingPrimary && requestedAtMs !== undefined) {
			this.positionSamples.add(status.verifiedTerm, requestedAtMs, status.received.index);
		}
	}

	#markUnreachable({memberId}: GroupMember): void {
		this.tracker.removeMember(memberId);
		if (memberId === this.#primaryId) {
			this.#primaryLostSinceMs ??= this.options.timers.nowMs();
		}
	}
}
