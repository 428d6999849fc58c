import {
	type DatagramTransport, GossipMembership, type GossipCounters, MemoryDatagramNetwork, type RandomSource, type TimerService,
} from '@dogwoodthread/coordination';

export type FleetMember = {membership: GossipMembership; transport: DatagramTransport; failureDomain: string; region: string};

export type GossipFleetOptions = {
	timers: TimerService;
	random: RandomSource;
	/** Opens the transport of one member. */
	createTransport(index: number): Promise<DatagramTransport>;
};

/** One-way delays in ms; across regions as between continents, since the design names no figure. */
export const delaysMs = {sameRegion: 1, otherRegion: 40};
export const regionCount = 4;

/** Today's fleets have 4 failure domains, the design size 11. */
export const domainCount = (size: number): number => size < 11 ? 4 : 11;

/** Members in one process, over any transport. */
export class GossipFleet {
	readonly members: FleetMember[] = [];

	constructor(private readonly options: GossipFleetOptions) {}

	/** Starts members that know the first three as seeds. */
	async start(size: number): Promise<void> {
		for (let index = 0; index < size; index += 1) {
			const transport = await this.options.createTransport(index);
			this.members.push(this.#create(index, domainCount(size), transport));
		}

		const seeds = this.members.slice(0, 3).map(member => member.transport.address);
		for (const {membership} of this.members) {
			membership.join(seeds);
		}
	}

	isConverged(): boolean {
		return this.members.every(({membership}) => membership.members().filter(({state}) => state === 'alive').length === this.members.length);
	}

	/** Ends a member without any word to the others. */
	crash(member: FleetMember): void {
		this.members.splice(this.members.indexOf(member), 1);
		void member.transport.close();
		member.membership.stop();
	}

	async stop(): Promise<void> {
		for (const {membership} of this.members) {
			membership.stop();
		}

		await Promise.all(this.members.map(async ({transport}) => transport.close()));
	}

	/** Bytes and datagrams that all members together have sent. */
	sent(): {bytes: number; datagrams: number} {
		const kinds = this.members.flatMap(({membership}) => Object.values(membership.counters.sent));
		return {
			bytes: kinds.reduce((sum, traffic) => sum + traffic.bytes, 0),
			datagrams: kinds.reduce((sum, traffic) => sum + traffic.datagrams, 0),
		};
	}

	count(counter: keyof Omit<GossipCounters, 'sent' | 'received'>): number {
		return this.members.reduce((sum, {membership}) => sum + membership.counters[counter], 0);
	}

	#create(index: number, domains: number, transport: DatagramTransport): FleetMember {
		const domain = index % domains;
		const failureDomain = `failure-domain-${domain}`;
		const region = `region-${domain % regionCount}`;
		const membership = new GossipMembership({
			self: {
				hostId: `host-${String(index).padStart(4, '0')}`,
				startedUnixMs: this.options.timers.wallClockMs(),
				gossipAddress: transport.address,
				peerAddress: `10.1.${Math.floor(index / 250)}.${(index % 250) + 1}:7001`,
				failureDomain,
				region,
			},
			transport,
			timers: this.options.timers,
			random: this.options.random,
		});
		return {
			membership, transport, failureDomain, region,
		};
	}
}

/** Fleet on a memory network whose delays depend on the region. */
export const createMemoryFleet = (timers: TimerService, random: RandomSource): {fleet: GossipFleet; network: MemoryDatagramNetwork} => {
	const regions = new Map<string, string>();
	const network = new MemoryDatagramNetwork({
		timers,
		random,
		delayMs: (from, to) => regions.get(from) === regions.get(to) ? delaysMs.sameRegion : delaysMs.otherRegion,
	});
	const fleet = new GossipFleet({
		timers,
		random,
		async createTransport(index) {
			const transport = network.create();
			regions.set(transport.address, `region-${(index % 11) % regionCount}`);
			return transport;
		},
	});
	return {fleet, network};
};
