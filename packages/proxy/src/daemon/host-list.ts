import {type MembershipView, type Platform, type TimerService} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';

const minIntervalMs = 1000;

/**
 * Each member adds this to the interval, so that the calls of all members together stay at 200/s, a tenth
 * of the reads that the platform serves.
 */
const intervalPerMemberMs = 5;

/** Reads the platform's list of hosts, to learn of endpoints that are leaving. The list is only a hint. */
export class HostList {
	#leaving: ReadonlySet<string> = new Set();
	#stopped = false;

	constructor(private readonly options: {
		platform: Platform; membership: MembershipView; timers: TimerService; random: () => number; logger: Logger;
	}) {}

	isLeaving(hostId: string): boolean {
		return this.#leaving.has(hostId);
	}

	/** Runs until `stop`. */
	async run(): Promise<void> {
		const {platform, membership, timers, random, logger} = this.options;
		while (!this.#stopped) {
			const hosts = await platform.hosts();
			if (hosts.isOk()) {
				this.#leaving = new Set(hosts.value.filter(({state}) => state === 'leaving').map(({hostId}) => hostId));
			} else {
				logger.debug({event: 'host-list-unavailable', message: hosts.error.message});
			}

			const intervalMs = Math.max(minIntervalMs, membership.members().length * intervalPerMemberMs);
			await timers.sleep(intervalMs * (0.9 + (0.2 * random())));
		}
	}

	stop(): void {
		this.#stopped = true;
	}
}
