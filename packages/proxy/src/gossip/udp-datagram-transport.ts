import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type DatagramTransport} from '@dogwoodthread/coordination';

/** Parses `ip:port`, with IPv6 addresses in brackets; returns undefined if the address has another form. */
const parseAddress = (address: string): {host: string; port: number} | undefined => {
	const match = /^(?:\[(?<v6>[\da-f:.]+)]|(?<v4>[\d.]+)):(?<port>\d{1,5})$/i.exec(address);
	const port = Number(match?.groups?.port);
	const host = match?.groups?.v6 ?? match?.groups?.v4;
	return host === undefined || port > 65_535 ? undefined : {host, port};
};

const formatAddress = (host: string, port: number): string => host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

/** Sends datagrams over UDP. Datagrams that cannot be sent are dropped, as a network may drop them. */
export class UdpDatagramTransport implements DatagramTransport {
	/** Binds to `address` (`ip:port`; port 0 selects a free port). Rejects if the address is in use or malformed. */
	static async create({address}: {address: string}): Promise<UdpDatagramTransport> {
		const parsed = parseAddress(address);
		if (!parsed) {
			throw new TypeError(`invalid address "${address}": expected ip:port, for example 127.0.0.1:7946 or [::1]:7946.`);
		}

		const socket = createSocket(parsed.host.includes(':') ? 'udp6' : 'udp4');
		socket.bind(parsed.port, parsed.host);
		await once(socket, 'listening');
		return new UdpDatagramTransport(socket);
	}

	readonly address: string;
	/** Number of datagrams that could not be sent: the address was malformed or the system refused them. */
	sendErrorCount = 0;
	#isClosed = false;

	private constructor(private readonly socket: Socket) {
		const bound = socket.address();
		this.address = formatAddress(bound.address, bound.port);
		socket.on('error', () => {
			this.sendErrorCount += 1;
		});
	}

	send(address: string, payload: Uint8Array): void {
		const target = parseAddress(address);
		if (this.#isClosed) {
			return;
		}

		if (!target || target.port === 0) {
			this.sendErrorCount += 1;
			return;
		}

		this.socket.send(payload, target.port, target.host, error => {
			if (error) {
				this.sendErrorCount += 1;
			}
		});
	}

	onReceive(listener: (fromAddress: string, payload: Uint8Array) => void): void {
		this.socket.on('message', (payload, from) => {
			listener(formatAddress(from.address, from.port), payload);
		});
	}

	async close(): Promise<void> {
		if (!this.#isClosed) {
			this.#isClosed = true;
			const closed = once(this.socket, 'close');
			this.socket.close();
			await closed;
		}
	}
}
