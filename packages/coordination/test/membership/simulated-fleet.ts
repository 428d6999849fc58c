import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	type DatagramTransport, GossipMembership, type GossipSettings, ManualTimerService, MemoryDatagramNetwork, type RandomSource, type TimerService, type TimerSubscription,
} from '../../src/index.js';

export const seededRandom = (seed: number): RandomSource => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** Timers of one process that can be paused together; callbacks that fall due during the pause run on resume. */
class PausableTimers implements TimerService {
	isPaused = false;
	readonly #deferredCallbacks: Array<() => void> = [];

	constructor(private readonly inner: TimerService) {}

	nowMs = (): number => this.inner.nowMs();
	wallClockMs = (): number => this.inner.wallClockMs();
	after = (delayMs: number, callback: () => void): TimerSubscription => this.inner.after(delayMs, this.#deferWhilePaused(callback));
	// The linter takes a call of `every` for the array method.

	every = (intervalMs: number, callback: () => void): TimerSubscription => this.inner.every(intervalMs, this.#deferWhilePaused(callback));
	sleep = async (delayMs: number): Promise<void> => this.inner.sleep(delayMs);

	resume(): void {
		this.isPaused = false;
		for (const callback of this.#deferredCallbacks.splice(0)) {
			callback();
		}
	}

	readonly #deferWhilePaused = (callback: () => void) => () => {
		if (this.isPaused) {
			this.#deferredCallbacks.push(callback);
		} else {
			callback();
		}
	};
}

export type SimulatedMember = {membership: GossipMembership; transport: DatagramTransport; timers: PausableTimers};

/** Gossip members on an in-memory network with simulated time. */
export class SimulatedFleet {
	readonly timers = new ManualTimerService();
	readonly random: RandomSource;
	readonly network: MemoryDatagramNetwork;
	readonly members = new Map<string, SimulatedMember>();
	/** "observer: member state" for each change to or from dead that an observer saw. */
	readonly deathChanges: string[] = [];

	constructor(seed: number, private readonly settings: Partial<GossipSettings> = {}) {
		this.random = seededRandom(seed);
		this.network = new MemoryDatagramNetwork({timers: this.timers, random: this.random, delayMs: 2});
	}

	start(hostId: string, address?: string): SimulatedMember {
		const transport = this.network.create(address);
		const timers = new PausableTimers(this.timers);
		const index = this.members.size;
		const membership = new GossipMembership({
			self: {
				hostId,
				startedUnixMs: this.timers.wallClockMs(),
				gossipAddress: transport.address,
				peerAddress: transport.address.replace(/:\d+$/, ':7001'),
				failureDomain: `fd-${index % 4}`,
				region: `region-${index % 2}`,
			},
			transport,
			timers,
			random: this.random,
			settings: this.settings,
		});
		membership.onChange((member, previous) => {
			if (member.state === 'dead' || previous?.state === 'dead') {
				this.deathChanges.push(`${hostId}: ${member.hostId} ${member.state}`);
			}
		});
		const member = {membership, transport, timers};
		this.members.set(hostId, member);
		return member;
	}

	/** Starts members that use the first two as seeds, and lets them discover each other. */
	startAll(size: number): void {
		for (let index = 0; index < size; index += 1) {
			this.start(`host-${index}`);
		}

		this.joinAll();
		this.timers.advance(15_000);
	}

	joinAll(): void {
		const seeds = [...this.members.values()].slice(0, 2).map(member => member.transport.address);
		for (const {membership} of this.members.values()) {
			membership.join(seeds);
		}
	}

	memberAt(index: number): SimulatedMember {
		return this.members.get(`host-${index}`)!;
	}

	/** Stops a process without notifying the others. */
	crash(hostId: string): SimulatedMember {
		const member = this.members.get(hostId)!;
		member.timers.isPaused = true;
		void member.transport.close();
		this.members.delete(hostId);
		return member;
	}

	pause(hostId: string): void {
		const member = this.members.get(hostId)!;
		member.timers.isPaused = true;
		this.network.pause(member.transport.address);
	}

	/** Runs overdue timers before buffered datagrams are delivered, as the Node.js event loop does. */
	resume(hostId: string): void {
		const member = this.members.get(hostId)!;
		member.timers.resume();
		this.network.resume(member.transport.address);
	}

	/** Number of members that have `hostId` in each state; "unknown" counts those without an entry. */
	countStatesOf(hostId: string): Record<string, number> {
		const states = [...this.members.values()].map(({membership}) => membership.get(hostId)?.state ?? 'unknown');
		return Object.fromEntries([...new Set(states)].map(state => [state, states.filter(other => other === state).length]));
	}

	/** Whether every member sees as many alive members as are running. */
	isConverged(): boolean {
		return [...this.members.values()].every(({membership}) =>
			membership.members().filter(member => member.state === 'alive').length === this.members.size);
	}

	/** Advances time until the condition holds; returns the elapsed time in ms, or infinity after `boundMs`. */
	advanceUntil(condition: () => boolean, boundMs: number): number {
		const startMs = this.timers.nowMs();
		while (!condition()) {
			if (this.timers.nowMs() - startMs >= boundMs) {
				return Number.POSITIVE_INFINITY;
			}

			this.timers.advance(100);
		}

		return this.timers.nowMs() - startMs;
	}

	sumCounter(counter: 'suspicionsRaised' | 'suspicionsRefuted' | 'deathsDeclared' | 'deathsRefuted'): number {
		return [...this.members.values()].reduce((sum, {membership}) => sum + membership.counters[counter], 0);
	}
}
