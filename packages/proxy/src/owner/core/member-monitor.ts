import {type GroupMember, type MemberStatus, type TimerSubscription} from '@dogwoodthread/coordination';
import {type EndpointMonitor, monitorIndexBase} from '../../endpoint/index.js';
import {type MemberHealth, type OwnerOptions} from '../definitions.js';

/** Interval of pings while this proxy acts; bounds how old the known position of a member is. */
export const pingIntervalMs = 200;

/** How long an owner that served a request goes on watching closely. */
const activeAfterUseMs = 2000;

/** A standby only has to notice a failed instance and a new primary, so it asks for a fifth as much. */
const pingsSkippedByStandby = 4;

/** Pings without an answer after which the stream counts as silent and a fresh one is opened beside it. */
const maxUnansweredPings = 3;

const reconnectDelayMs = 100;

export type MonitorListener = (member: GroupMember, status: MemberStatus, askedAtMs: number | undefined) => void;

/** Keeps a status stream to one instance. One task for the life of the owner. */
export class MemberMonitor {
	readonly health: MemberHealth = {
		status: undefined, unreachableSinceMs: undefined, contactLostSinceMs: undefined, monitorUp: false,
	};

	#stopped = false;
	#unansweredPings = 0;
	#skippedPings = 0;
	#pushesPositions = false;
	#usedAtMs = Number.NEGATIVE_INFINITY;
	#current: EndpointMonitor | undefined;
	#pings: TimerSubscription | undefined;

	constructor(
		private readonly options: Pick<OwnerOptions, 'connector' | 'timers' | 'policy' | 'database' | 'seat' | 'hostId' | 'isActing' | 'logger'>,
		private readonly member: GroupMember,
		private readonly listener: MonitorListener,
		private readonly onDown: (member: GroupMember) => void,
	) {}

	/** Runs until `stop`. */
	async run(): Promise<void> {
		while (!this.#stopped) {
			const monitor = await this.#open();
			if (this.#stopped) {
				// Stopped while it opened; the instance would count the connection for as long as this process runs.
				monitor?.close();
			} else if (monitor) {
				await this.#follow(monitor);
			} else {
				await this.options.timers.sleep(reconnectDelayMs);
			}
		}
	}

	/** Notes that a request is served, whose confirmation waits for the positions of this instance. */
	noteUse(): void {
		this.#usedAtMs = this.options.timers.nowMs();
		if (this.#current && this.health.monitorUp && !this.#pushesPositions) {
			this.#ping(this.#current);
		}
	}

	stop(): void {
		this.#stopped = true;
		this.#pings?.cancel();
		this.#current?.close();
	}

	async #open(): Promise<EndpointMonitor | undefined> {
		const {connector, policy, timers, database, seat, hostId, logger} = this.options;
		const opened = await connector.monitor(
			this.member.address,
			{
				database, rank: seat.rank, generation: seat.generation, index: monitorIndexBase, hostId,
			},
			policy.connectTimeoutMs,
			(status, askedAtMs) => {
				this.#accept(status, askedAtMs);
			},
		);
		if (opened.isOk()) {
			if (this.health.unreachableSinceMs !== undefined) {
				logger.info({event: 'instance-reachable', memberId: this.member.memberId});
			}

			this.health.unreachableSinceMs = undefined;
			return opened.value;
		}

		if (this.health.unreachableSinceMs === undefined) {
			logger.warn({event: 'instance-unreachable', memberId: this.member.memberId, reason: opened.error.message});
			this.health.unreachableSinceMs = timers.nowMs();
		}

		this.#markDown();
		return undefined;
	}

	async #follow(monitor: EndpointMonitor): Promise<void> {
		const {timers, logger} = this.options;
		this.#current?.close();
		this.#current = monitor;
		this.health.monitorUp = true;
		this.#unansweredPings = 0;
		this.#ping(monitor);
		const silent = new Promise<void>(resolve => {
			this.#pings = timers.every(pingIntervalMs, () => {
				this.#pingWhenDue(monitor);
				if (this.#unansweredPings > maxUnansweredPings) {
					logger.warn({event: 'monitor-silent', memberId: this.member.memberId});
					resolve();
				}
			});
		});
		await Promise.race([silent, monitor.closed]);
		this.#pings?.cancel();
	}

	#pingWhenDue(monitor: EndpointMonitor): void {
		if (this.#isActive() || this.#skippedPings >= pingsSkippedByStandby || this.#unansweredPings > 0) {
			this.#skippedPings = 0;
			this.#ping(monitor);
		} else {
			this.#skippedPings += 1;
		}
	}

	#ping(monitor: EndpointMonitor): void {
		this.#unansweredPings += 1;
		this.#pushesPositions = this.#isActive();
		monitor.ping(this.#pushesPositions);
	}

	/** An owner may serve requests although it does not act by its own view, e.g. while it leaves. */
	#isActive(): boolean {
		return this.options.isActing() || this.options.timers.nowMs() - this.#usedAtMs < activeAfterUseMs;
	}

	#accept(status: MemberStatus, askedAtMs: number | undefined): void {
		const nowMs = this.options.timers.nowMs();
		this.#unansweredPings = 0;
		this.health.status = status;
		const lost = status.role === 'replica' && !status.primaryContact;
		this.health.contactLostSinceMs = lost ? this.health.contactLostSinceMs ?? nowMs : undefined;
		this.listener(this.member, status, askedAtMs);
	}

	#markDown(): void {
		if (this.health.monitorUp || this.health.status) {
			this.health.monitorUp = false;
			this.health.status = undefined;
			this.health.contactLostSinceMs = undefined;
			this.onDown(this.member);
		}
	}
}
