import {type MembershipView, type Platform, type TimerService} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';

const minIntervalMs = 1000;

/**
 * Polling interval per member of the fleet. It keeps the rate of all members together at 200 calls/s, a tenth of the
 * reads that the platform can serve.
 */
const intervalPerMemberMs = 5;

/** Polls the platform's list of hosts for endpoints that are leaving. The list is only a hint. */
export class HostListPoller {
	#leavingHostIds: ReadonlySet<string> = new Set();
	#isStopped = false;

	constructor(private readonly options: {
		platform: Platform; membership: MembershipView; timers: TimerService; random: () => number; logger: Logger;
	}) {}

	isLeaving(hostId: string): boolean {
		return this.#leavingHostIds.has(hostId);
	}

	/** Polls until `stop` is called. */
	async pollUntilStopped(): Promise<void> {
		const {platform, membership, timers, random, logger} = this.options;
		while (!this.#isStopped) {
			const hosts = await platform.hosts();
			if (hosts.isOk()) {
				this.#leavingHostIds = new Set(hosts.value.filter(({state}) => state === 'leaving').map(({hostId}) => hostId));
			} else {
				logger.debug({event: 'host-list-unavailable', message: hosts.error.message});
			}

			const intervalMs = Math.max(minIntervalMs, membership.members().length * intervalPerMemberMs);
			await timers.sleep(intervalMs * (0.9 + (0.2 * random())));
		}
	}

	stop(): void {
		this.#isStopped = true;
	}
}
