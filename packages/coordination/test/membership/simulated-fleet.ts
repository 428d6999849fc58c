import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	type DatagramTransport, GossipMembership, type GossipSettings, ManualTimerService, MemoryDatagramNetwork, type RandomSource, type TimerService, type TimerSubscription,
} from '../../src/index.js';

export const seededRandom = (seed: number): RandomSource => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** Timers of one process that can be stopped as a whole; what fell due meanwhile runs on resume. */
class PausableTimers implements TimerService {
	paused = false;
	readonly #waiting: Array<() => void> = [];

	constructor(private readonly inner: TimerService) {}

	nowMs = (): number => this.inner.nowMs();
	wallClockMs = (): number => this.inner.wallClockMs();
	after = (delayMs: number, callback: () => void): TimerSubscription => this.inner.after(delayMs, this.#guard(callback));
	// The rules take the timer for an array.

	every = (intervalMs: number, callback: () => void): TimerSubscription => this.inner.every(intervalMs, this.#guard(callback));
	sleep = async (delayMs: number): Promise<void> => this.inner.sleep(delayMs);

	resume(): void {
		this.paused = false;
		for (const callback of this.#waiting.splice(0)) {
			callback();
		}
	}

	readonly #guard = (callback: () => void) => () => {
		if (this.paused) {
			this.#waiting.push(callback);
		} else {
			callback();
		}
	};
}

export type SimulatedMember = {membership: GossipMembership; transport: DatagramTransport; timers: PausableTimers};

/** Members on a memory network and manual time. */
export class SimulatedFleet {
	readonly timers = new ManualTimerService();
	readonly random: RandomSource;
	readonly network: MemoryDatagramNetwork;
	readonly members = new Map<string, SimulatedMember>();
	/** "observer: member state" for each change to dead, and back from it. */
	readonly deaths: string[] = [];

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
				this.deaths.push(`${hostId}: ${member.hostId} ${member.state}`);
			}
		});
		const member = {membership, transport, timers};
		this.members.set(hostId, member);
		return member;
	}

	/** Starts members that all know the first two as seeds, and lets them find each other. */
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

	at(index: number): SimulatedMember {
		return this.members.get(`host-${index}`)!;
	}

	/** Ends a process without any word to the others. */
	crash(hostId: string): SimulatedMember {
		const member = this.members.get(hostId)!;
		member.timers.paused = true;
		void member.transport.close();
		this.members.delete(hostId);
		return member;
	}

	pause(hostId: string): void {
		const member = this.members.get(hostId)!;
		member.timers.paused = true;
		this.network.pause(member.transport.address);
	}

	/** Overdue timers run before waiting datagrams are read, as in the Node.js event loop. */
	resume(hostId: string): void {
		const member = this.members.get(hostId)!;
		member.timers.resume();
		this.network.resume(member.transport.address);
	}

	/** How many members see `hostId` in each state; "unknown" for those that don't know it. */
	views(hostId: string): Record<string, number> {
		const states = [...this.members.values()].map(({membership}) => membership.get(hostId)?.state ?? 'unknown');
		return Object.fromEntries([...new Set(states)].map(state => [state, states.filter(other => other === state).length]));
	}

	/** Whether every member sees exactly the running members as alive. */
	isConverged(): boolean {
		return [...this.members.values()].every(({membership}) =>
			membership.members().filter(member => member.state === 'alive').length === this.members.size);
	}

	/** Advances until the condition holds; gives the time it took in ms, or infinity after `boundMs`. */
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

	count(counter: 'suspicionsRaised' | 'suspicionsRefuted' | 'deathsDeclared' | 'deathsRefuted'): number {
		return [...this.members.values()].reduce((sum, {membership}) => sum + membership.counters[counter], 0);
	}
}
