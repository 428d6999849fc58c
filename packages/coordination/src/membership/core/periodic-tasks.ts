import {type TimerSubscription} from '../../timer/index.js';
import {sample} from '../../random/index.js';
import {type GossipContext} from './gossip-context.js';
import {type Prober} from './prober.js';
import {type ProbeSchedule} from './probe-schedule.js';
import {type TableExchange} from './table-exchange.js';
import {type UpdatePusher} from './update-pusher.js';

// Members that start at the same time learn of each other through a few seeds and miss some; early exchanges find
// the rest long before the first periodic one.
const earlyExchangeDelaysMs = [1000, 3000, 9000];

export type PeriodicTaskComponents = {prober: Prober; schedule: ProbeSchedule; exchange: TableExchange; pusher: UpdatePusher};

/** Runs probes, table exchanges, pushes, pings of dead members and contact with seeds at their intervals. */
export class PeriodicTasks {
	readonly #subscriptions: TimerSubscription[] = [];
	#seedAddresses: readonly string[] = [];

	constructor(private readonly context: GossipContext, private readonly components: PeriodicTaskComponents) {}

	start(seedAddresses: readonly string[]): void {
		const {settings, transport} = this.context;
		this.#seedAddresses = seedAddresses.filter(address => address !== transport.address);
		this.#contactSeeds(this.#seedAddresses, settings.indirectProbeCount);
		this.#scheduleTasks();
	}

	stop(): void {
		for (const subscription of this.#subscriptions) {
			subscription.cancel();
		}
	}

	#scheduleTasks(): void {
		const {settings, timers} = this.context;
		this.#subscriptions.push(...earlyExchangeDelaysMs.map(delayMs => timers.after(delayMs, () => {
			this.#exchangeWithRandomMember();
		})));
		this.#startPeriodicTask(settings.probeIntervalMs, () => {
			this.#probeNext();
		});
		this.#startPeriodicTask(settings.exchangeIntervalMs, () => {
			this.#exchangeWithRandomMember();
		});
		this.#startPeriodicTask(settings.pushIntervalMs, () => {
			this.components.pusher.pushQueued();
		});
		this.#startPeriodicTask(settings.deadProbeIntervalMs, () => {
			this.#pingRandomDeadMember();
		});
	}

	/** Starts after a random part of the interval, so that members that start at the same time don't run in lockstep. */
	#startPeriodicTask(intervalMs: number, callback: () => void): void {
		const {timers, random} = this.context;
		this.#subscriptions.push(timers.after(random() * intervalMs, () => {
			callback();
			this.#subscriptions.push(timers.every(intervalMs, callback));
		}));
	}

	#probeNext(): void {
		this.context.table.removeExpiredDeadMembers(this.context.settings.deadRetentionMs);
		const member = this.components.schedule.next();
		if (member) {
			this.components.prober.probe(member);
		} else {
			this.#contactSeeds(this.#seedAddresses, 1);
		}
	}

	#exchangeWithRandomMember(): void {
		const {table, random} = this.context;
		const [hostId] = sample(table.livePeerIds(), 1, random);
		if (hostId !== undefined) {
			this.components.exchange.start(table.get(hostId)!.gossipAddress);
		}

		// Merges fleets that formed separately because their first members had different seeds.
		const knownAddresses = new Set(table.livePeerIds().map(other => table.get(other)!.gossipAddress));
		this.#contactSeeds(this.#seedAddresses.filter(seed => !knownAddresses.has(seed)), 1);
	}

	#contactSeeds(addresses: readonly string[], count: number): void {
		for (const address of sample(addresses, count, this.context.random)) {
			this.components.exchange.start(address);
		}
	}

	/** Lets regions find each other again after a network partition. */
	#pingRandomDeadMember(): void {
		const [hostId] = sample(this.context.table.deadPeerIds(), 1, this.context.random);
		if (hostId !== undefined) {
			this.components.prober.pingMember(hostId);
		}
	}
}
