import {type GroupMember, type MemberStatus, type TimerSubscription} from '@dogwoodthread/coordination';
import {type EndpointMonitor, monitorIndexBase} from '../../endpoint/index.js';
import {type MemberHealth, type OwnerOptions} from '../definitions.js';

/** Ping interval while this proxy is the acting owner; bounds the age of the known position of a member. */
export const pingIntervalMs = 200;

/** Time after serving a request for which the owner keeps pinging at the full rate. */
const frequentPingsAfterUseMs = 2000;

/** A standby owner only has to notice a failed instance or a new primary, so it sends one ping in five. */
const standbySkippedPings = 4;

/** Maximum unanswered pings; beyond this the stream is treated as unresponsive and a new one is opened before it is closed. */
const maxUnansweredPings = 3;

const reconnectDelayMs = 100;

export type MonitorListener = (member: GroupMember, status: MemberStatus, requestedAtMs: number | undefined) => void;

/** Maintains a status stream to one instance, as a single task for the lifetime of the owner. */
export class MemberMonitor {
	readonly health: MemberHealth = {
		status: undefined, unreachableSinceMs: undefined, contactLostSinceMs: undefined, isMonitorUp: false,
	};

	#isStopped = false;
	#unansweredPings = 0;
	#skippedPings = 0;
	#isPushRequested = false;
	#lastUsedAtMs = Number.NEGATIVE_INFINITY;
	#currentStream: EndpointMonitor | undefined;
	#pingTimer: TimerSubscription | undefined;

	constructor(
		private readonly options: Pick<OwnerOptions, 'connector' | 'timers' | 'policy' | 'database' | 'seat' | 'hostId' | 'isActing' | 'logger'>,
		private readonly member: GroupMember,
		private readonly listener: MonitorListener,
		private readonly onUnreachable: (member: GroupMember) => void,
	) {}

	/** Opens the stream and reopens it after failures, until `stop` is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const monitor = await this.#open();
			if (this.#isStopped) {
				// Stopped while the stream was being opened. Left open, it would count against the connections of the
				// instance until this process exits.
				monitor?.close();
			} else if (monitor) {
				await this.#watch(monitor);
			} else {
				await this.options.timers.sleep(reconnectDelayMs);
			}
		}
	}

	/** Records that a request is being served, whose confirmation depends on the log positions of this instance. */
	recordUse(): void {
		this.#lastUsedAtMs = this.options.timers.nowMs();
		if (this.#currentStream && this.health.isMonitorUp && !this.#isPushRequested) {
			this.#ping(this.#currentStream);
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#pingTimer?.cancel();
		this.#currentStream?.close();
	}

	async #open(): Promise<EndpointMonitor | undefined> {
		const {connector, policy, timers, database, seat, hostId, logger} = this.options;
		const opened = await connector.monitor(
			this.member.address,
			{
				database, rank: seat.rank, generation: seat.generation, index: monitorIndexBase, hostId,
			},
			policy.connectTimeoutMs,
			(status, requestedAtMs) => {
				this.#acceptStatus(status, requestedAtMs);
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

		this.#markUnreachable();
		return undefined;
	}

	async #watch(monitor: EndpointMonitor): Promise<void> {
		const {timers, logger} = this.options;
		this.#currentStream?.close();
		this.#currentStream = monitor;
		this.health.isMonitorUp = true;
		this.#unansweredPings = 0;
		this.#ping(monitor);
		const silence = new Promise<void>(resolve => {
			this.#pingTimer = timers.every(pingIntervalMs, () => {
				this.#pingWhenDue(monitor);
				if (this.#unansweredPings > maxUnansweredPings) {
					logger.warn({event: 'monitor-silent', memberId: this.member.memberId});
					resolve();
				}
			});
		});
		await Promise.race([silence, monitor.closed]);
		this.#pingTimer?.cancel();
	}

	#pingWhenDue(monitor: EndpointMonitor): void {
		if (this.#needsFrequentPings() || this.#skippedPings >= standbySkippedPings || this.#unansweredPings > 0) {
			this.#skippedPings = 0;
			this.#ping(monitor);
		} else {
			this.#skippedPings += 1;
		}
	}

	#ping(monitor: EndpointMonitor): void {
		this.#unansweredPings += 1;
		this.#isPushRequested = this.#needsFrequentPings();
		monitor.ping(this.#isPushRequested);
	}

	/** An owner may serve requests while it is not acting according to its own view, e.g. while it is leaving. */
	#needsFrequentPings(): boolean {
		return this.options.isActing() || this.options.timers.nowMs() - this.#lastUsedAtMs < frequentPingsAfterUseMs;
	}

	#acceptStatus(status: MemberStatus, requestedAtMs: number | undefined): void {
		const nowMs = this.options.timers.nowMs();
		this.#unansweredPings = 0;
		this.health.status = status;
		const isContactLost = status.role === 'replica' && !status.primaryContact;
		this.health.contactLostSinceMs = isContactLost ? this.health.contactLostSinceMs ?? nowMs : undefined;
		this.listener(this.member, status, requestedAtMs);
	}

	#markUnreachable(): void {
		if (this.health.isMonitorUp || this.health.status) {
			this.health.isMonitorUp = false;
			this.health.status = undefined;
			this.health.contactLostSinceMs = undefined;
			this.onUnreachable(this.member);
		}
	}
}
