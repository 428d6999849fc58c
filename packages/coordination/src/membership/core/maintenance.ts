import {type TimerSubscription} from '../../timer/index.js';
import {sample} from '../../random/index.js';
import {type GossipContext} from './gossip-context.js';
import {type Prober} from './prober.js';
import {type ProbeSchedule} from './probe-schedule.js';
import {type TableExchange} from './table-exchange.js';
import {type UpdatePusher} from './update-pusher.js';

// Members that start together learn of each other through a few seeds, and miss some; early exchanges
// find the rest long before the periodic one.
const earlyExchangesMs = [1000, 3000, 9000];

export type MaintenanceParts = {prober: Prober; schedule: ProbeSchedule; exchange: TableExchange; pusher: UpdatePusher};

/** Periodic work: probes, table exchanges, probes of dead members and contact with seeds. */
export class Maintenance {
	readonly #subscriptions: TimerSubscription[] = [];
	#seedAddresses: readonly string[] = [];

	constructor(private readonly context: GossipContext, private readonly parts: MaintenanceParts) {}

	start(seedAddresses: readonly string[]): void {
		const {settings, transport} = this.context;
		this.#seedAddresses = seedAddresses.filter(address => address !== transport.address);
		this.#contactSeeds(this.#seedAddresses, settings.indirectProbes);
		this.#subscribe();
	}

	stop(): void {
		for (const subscription of this.#subscriptions) {
			subscription.cancel();
		}
	}

	#subscribe(): void {
		const {settings, timers} = this.context;
		this.#subscriptions.push(...earlyExchangesMs.map(delayMs => timers.after(delayMs, () => {
			this.#exchangeWithOne();
		})));
		this.#every(settings.probeIntervalMs, () => {
			this.#probeNext();
		});
		this.#every(settings.exchangeIntervalMs, () => {
			this.#exchangeWithOne();
		});
		this.#every(settings.pushIntervalMs, () => {
			this.parts.pusher.pushWaiting();
		});
		this.#every(settings.deadProbeIntervalMs, () => {
			this.#probeDead();
		});
	}

	/** Starts at a random phase, so that members that start together don't act in step. */
	#every(intervalMs: number, callback: () => void): void {
		const {timers, random} = this.context;
		this.#subscriptions.push(timers.after(random() * intervalMs, () => {
			callback();
			this.#subscriptions.push(timers.every(intervalMs, callback));
		}));
	}

	#probeNext(): void {
		this.context.table.removeDead(this.context.settings.deadRetentionMs);
		const member = this.parts.schedule.next();
		if (member) {
			this.parts.prober.probe(member);
		} else {
			this.#contactSeeds(this.#seedAddresses, 1);
		}
	}

	#exchangeWithOne(): void {
		const {table, random} = this.context;
		const [hostId] = sample(table.others(), 1, random);
		if (hostId !== undefined) {
			this.parts.exchange.start(table.get(hostId)!.gossipAddress);
		}

		// Joins fleets that formed apart because their first members knew different seeds.
		const known = new Set(table.others().map(other => table.get(other)!.gossipAddress));
		this.#contactSeeds(this.#seedAddresses.filter(seed => !known.has(seed)), 1);
	}

	#contactSeeds(addresses: readonly string[], count: number): void {
		for (const address of sample(addresses, count, this.context.random)) {
			this.parts.exchange.start(address);
		}
	}

	/** Regions that were apart find each other again. */
	#probeDead(): void {
		const [hostId] = sample(this.context.table.dead(), 1, this.context.random);
		if (hostId !== undefined) {
			this.parts.prober.pingMember(hostId);
		}
	}
}
