import {type TimerService} from '../../timer/index.js';
import {type DatagramTransport} from '../definitions.js';
import {type RandomSource} from '../../random/index.js';

export type MemoryDatagramNetworkOptions = {
	timers: TimerService;
	random: RandomSource;
	/** One-way delay, or a function of both addresses. */
	delayMs?: number | ((from: string, to: string) => number);
};

type Listener = (fromAddress: string, payload: Uint8Array) => void;

class MemoryTransport implements DatagramTransport {
	listener: Listener | undefined;
	/** Datagrams that wait for a paused receiver, as in a socket's buffer. */
	waiting: Array<[string, Uint8Array]> | undefined;

	constructor(readonly address: string, private readonly network: MemoryDatagramNetwork) {}

	send(address: string, payload: Uint8Array): void {
		this.network.deliver(this.address, address, payload);
	}

	onReceive(listener: Listener): void {
		this.listener = listener;
	}

	async close(): Promise<void> {
		this.network.remove(this);
	}
}

/** Datagrams between members of one process, with faults. For tests and for embedders that simulate. */
export class MemoryDatagramNetwork {
	/** Share of datagrams that get lost, 0 to 1. */
	dropProbability = 0;
	readonly #transports = new Map<string, MemoryTransport>();
	#lastPort = 0;
	#groupOf: ReadonlyMap<string, number> = new Map();

	constructor(private readonly options: MemoryDatagramNetworkOptions) {}

	/** Opens a transport; an address may be used again after its earlier transport was closed. */
	create(address = this.#nextAddress()): DatagramTransport {
		const transport = new MemoryTransport(address, this);
		this.#transports.set(address, transport);
		return transport;
	}

	/** Loses all datagrams between members of different groups; addresses in no group reach everyone. */
	cut(groups: ReadonlyArray<readonly string[]>): void {
		this.#groupOf = new Map(groups.flatMap((group, index) => group.map(address => [address, index] as const)));
	}

	heal(): void {
		this.#groupOf = new Map();
	}

	/** Keeps datagrams for the address until `resume`. The caller pauses the member's timers. */
	pause(address: string): void {
		const transport = this.#transports.get(address);
		if (transport) {
			transport.waiting ??= [];
		}
	}

	resume(address: string): void {
		const transport = this.#transports.get(address);
		const waiting = transport?.waiting ?? [];
		if (transport) {
			transport.waiting = undefined;
		}

		for (const [from, payload] of waiting) {
			transport?.listener?.(from, payload);
		}
	}

	deliver(from: string, to: string, payload: Uint8Array): void {
		const {random, timers, delayMs = 1} = this.options;
		if (this.#isCut(from, to) || random() < this.dropProbability) {
			return;
		}

		timers.after(typeof delayMs === 'number' ? delayMs : delayMs(from, to), () => {
			const transport = this.#transports.get(to);
			if (transport?.waiting) {
				transport.waiting.push([from, payload]);
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

	#isCut(from: string, to: string): boolean {
		const [fromGroup, toGroup] = [this.#groupOf.get(from), this.#groupOf.get(to)];
		return fromGroup !== undefined && toGroup !== undefined && fromGroup !== toGroup;
	}

	#nextAddress(): string {
		this.#lastPort += 1;
		return `10.0.${Math.floor(this.#lastPort / 250)}.${(this.#lastPort % 250) + 1}:7000`;
	}
}
