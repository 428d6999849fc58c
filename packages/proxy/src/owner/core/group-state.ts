import {
	ConfirmationTracker, type GroupMember, type MemberStatus, PositionSamples, type Admission,
} from '@dogwoodthread/coordination';
import {type OwnerOptions} from '../definitions.js';
import {ConnectionPool} from './connection-pool.js';
import {MemberMonitor} from './member-monitor.js';

/** One instance as the owner sees and uses it. */
export type Instance = {
	member: GroupMember;
	monitor: MemberMonitor;
	pool: ConnectionPool;
	admission: Admission;
};

/** What an owner knows of a group, fed by the monitors of its instances. */
export class GroupState {
	readonly tracker: ConfirmationTracker;
	readonly samples = new PositionSamples();
	readonly instances: ReadonlyMap<string, Instance>;
	/** Member that was last seen as primary; it may have been fenced since. */
	#primaryId: string | undefined;
	#primaryLostSinceMs: number | undefined;

	constructor(private readonly options: OwnerOptions) {
		this.tracker = new ConfirmationTracker(options.members.length);
		this.#primaryLostSinceMs = options.timers.nowMs();
		this.instances = new Map(options.members.map(member => [member.memberId, this.#createInstance(member)]));
	}

	/** Primary of the tracked term, if it is known to serve. */
	get primary(): Instance | undefined {
		return this.#primaryId !== undefined && this.#primaryLostSinceMs === undefined
			? this.instances.get(this.#primaryId)
			: undefined;
	}

	/** Primary of the tracked term, whether it still serves or not. */
	get lastPrimary(): Instance | undefined {
		return this.#primaryId === undefined ? undefined : this.instances.get(this.#primaryId);
	}

	/** Since when no instance is known as serving primary; undefined while one is. */
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

	/** Has the monitors watch closely, since a request is being served. */
	noteUse(): void {
		for (const {monitor} of this.instances.values()) {
			monitor.noteUse();
		}
	}

	/** Follows limits that have changed in the policy. */
	applyPolicy(): void {
		for (const {pool, admission} of this.instances.values()) {
			admission.setLimits(this.options.policy.admission);
			pool.resize();
		}
	}

	/** Upper bound of the age of an instance's data, in ms; undefined if unknown. */
	ageBoundMs({verifiedTerm, applied}: MemberStatus): number | undefined {
		return this.samples.ageBoundMs(verifiedTerm, applied.index, this.options.timers.nowMs());
	}

	#createInstance(member: GroupMember): Instance {
		const monitor = new MemberMonitor(
			this.options,
			member,
			(from, status, askedAtMs) => {
				this.#accept(from, status, askedAtMs);
			},
			from => {
				this.#markDown(from);
			},
		);
		return {
			member,
			monitor,
			pool: new ConnectionPool(this.options, member),
			admission: this.options.createAdmission(this.options.policy.admission),
		};
	}

	#accept({memberId}: GroupMember, status: MemberStatus, askedAtMs: number | undefined): void {
		// Only the primary that the platform's record names is ever promoted in a term, so what an
		// unfenced primary says of its term is enough.
		const serves = status.role === 'primary' && status.fencedTerm === status.verifiedTerm;
		if (serves && status.verifiedTerm >= this.tracker.term) {
			this.tracker.setTerm(status.verifiedTerm);
			this.#primaryId = memberId;
			this.#primaryLostSinceMs = undefined;
		} else if (memberId === this.#primaryId) {
			this.#primaryLostSinceMs ??= this.options.timers.nowMs();
		}

		this.tracker.report(status);
		if (serves && askedAtMs !== undefined) {
			this.samples.add(status.verifiedTerm, askedAtMs, status.received.index);
		}
	}

	#markDown({memberId}: GroupMember): void {
		this.tracker.removeMember(memberId);
		if (memberId === this.#primaryId) {
			this.#primaryLostSinceMs ??= this.options.timers.nowMs();
		}
	}
}
