import {type TimerService} from '../../timer/index.js';
import {type DatagramTransport} from '../definitions.js';
import {type RandomSource} from '../../random/index.js';

export type MemoryDatagramNetworkOptions = {
	timers: TimerService;
	random: RandomSource;
	/** One-way delay, or a function of both addresses. */
	delayMs?: number | ((from: string, to: string) => number);
};

type DatagramListener = (fromAddress: string, payload: Uint8Array) => void;

class MemoryTransport implements DatagramTransport {
	listener: DatagramListener | undefined;
	/** Datagrams that arrived while the receiver is paused, as in a socket's receive buffer; undefined while it is not paused. */
	bufferedDatagrams: Array<[string, Uint8Array]> | undefined;

	constructor(readonly address: string, private readonly network: MemoryDatagramNetwork) {}

	send(address: string, payload: Uint8Array): void {
		this.network.deliver(this.address, address, payload);
	}

	onReceive(listener: DatagramListener): void {
		this.listener = listener;
	}

	async close(): Promise<void> {
		this.network.remove(this);
	}
}

/** In-memory datagram network with fault injection, for tests and simulations. */
export class MemoryDatagramNetwork {
	/** Probability that a datagram is dropped, 0 to 1. */
	dropProbability = 0;
	readonly #transports = new Map<string, MemoryTransport>();
	#lastPort = 0;
	#partitionGroupByAddress: ReadonlyMap<string, number> = new Map();

	constructor(private readonly options: MemoryDatagramNetworkOptions) {}

	/** Opens a transport; an address can be reused after its previous transport was closed. */
	create(address = this.#nextAddress()): DatagramTransport {
		const transport = new MemoryTransport(address, this);
		this.#transports.set(address, transport);
		return transport;
	}

	/** Drops all datagrams between addresses of different groups; an address that is in no group reaches all others. */
	partition(groups: ReadonlyArray<readonly string[]>): void {
		this.#partitionGroupByAddress = new Map(groups.flatMap((group, index) => group.map(address => [address, index] as const)));
	}

	/** Ends the partition. */
	heal(): void {
		this.#partitionGroupByAddress = new Map();
	}

	/** Buffers datagrams to the address until `resume`. Doesn't pause the member's timers; the caller does. */
	pause(address: string): void {
		const transport = this.#transports.get(address);
		if (transport) {
			transport.bufferedDatagrams ??= [];
		}
	}

	resume(address: string): void {
		const transport = this.#transports.get(address);
		const datagrams = transport?.bufferedDatagrams ?? [];
		if (transport) {
			transport.bufferedDatagrams = undefined;
		}

		for (const [from, payload] of datagrams) {
			transport?.listener?.(from, payload);
		}
	}

	deliver(from: string, to: string, payload: Uint8Array): void {
		const {random, timers, delayMs = 1} = this.options;
		if (this.#isPartitioned(from, to) || random() < this.dropProbability) {
			return;
		}

		timers.after(typeof delayMs === 'number' ? delayMs : delayMs(from, to), () => {
			const transport = this.#transports.get(to);
			if (transport?.bufferedDatagrams) {
				transport.bufferedDatagrams.push([from, payload]);
			} else {
				transport?.listener?.(from, payload);
			}
		});
	}

	remove(transport: MemoryTransport): void {
		if (this.#transports.get(transport.address) === transport) {
			this.#transports.delete(transport.address);
		}
	}

	#isPartitioned(from: string, to: string): boolean {
		const [fromGroup, toGroup] = [this.#partitionGroupByAddress.get(from), this.#partitionGroupByAddress.get(to)];
		return fromGroup !== undefined && toGroup !== undefined && fromGroup !== toGroup;
	}

	#nextAddress(): string {
		this.#lastPort += 1;
		return `10.0.${Math.floor(this.#lastPort / 250)}.${(this.#lastPort % 250) + 1}:7000`;
	}
}
