import {type TimerService} from '@dogwoodthread/coordination';
import {ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {type ProxyStatus, type StatusError, type StatusReader} from '../definitions.js';

/** A proxy on a healthy network answers within milliseconds. */
const readTimeoutMs = 3000;

const statusPageSchema = z.object({
	self: z.object({hostId: z.string()}),
	ready: z.boolean(),
	document: z.object({
		version: z.number(), confirmationAgeMs: z.number(), isStale: z.boolean(), damagedVersion: z.number().optional(),
	}),
	members: z.array(z.object({hostId: z.string(), state: z.string()})),
	databases: z.array(z.object({
		database: z.string(),
		rank: z.number(),
		acting: z.boolean(),
		term: z.number(),
		primary: z.string().optional(),
		primaryLostForMs: z.number().optional(),
		promotionFailed: z.string().optional(),
		instances: z.array(z.object({memberId: z.string(), reachable: z.boolean()})),
	})),
});

const unavailable = (cause: unknown): StatusError => ({
	kind: 'proxy-unavailable',
	message: `no status (${cause instanceof z.ZodError ? 'another form than a proxy\'s status page' : (cause instanceof Error ? cause.message : String(cause))}); check the address and the proxy`,
	cause,
});

/** Reads `/status` of proxies over HTTP. */
export class HttpStatusReader implements StatusReader {
	constructor(private readonly timers: TimerService) {}

	read(address: string): ResultAsync<ProxyStatus, StatusError> {
		return ResultAsync.fromPromise(this.#fetch(address), cause => unavailable(cause));
	}

	async #fetch(address: string): Promise<ProxyStatus> {
		const abort = new AbortController();
		const timeout = this.timers.after(readTimeoutMs, () => {
			abort.abort(new Error(`no answer within ${readTimeoutMs} ms`));
		});
		try {
			const response = await fetch(`http://${address}/status`, {signal: abort.signal});
			const {self, members, ...rest} = statusPageSchema.parse(await response.json());
			return {...rest, hostId: self.hostId, liveHostIds: members.filter(({state}) => state !== 'dead').map(({hostId}) => hostId)};
		} finally {
			timeout.cancel();
		}
	}
}
