import {Buffer} from 'node:buffer';
import {
	Agent, createServer, request as httpRequest, type IncomingMessage, type Server,
} from 'node:http';
import {json as readJson} from 'node:stream/consumers';
import {type Faults} from '../core/faults.js';
import {type ReplicationSource} from '../core/replication-source.js';
import {type PullAnswer, type PullRequest, type ReplicationTransport} from '../definitions.js';

/** Serves `POST /pull` to the replicas of the group. */
export const createReplicationServer = (source: ReplicationSource, faults: Faults): Server =>
	createServer(async (request, response) => {
		try {
			const pull = await readJson(request) as PullRequest;
			await faults.untilThawed();
			const answer = await source.pull(pull);
			await faults.untilThawed();
			if (faults.values.cutFromGroup) {
				request.socket.destroy();
				return;
			}

			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify(answer));
		} catch {
			// A body that is not JSON comes from no replica.
			request.socket.destroy();
		}
	});

/** Pulls over HTTP/1.1 with one kept connection; every pull waits for the one before, so one is enough. */
export class HttpReplicationTransport implements ReplicationTransport {
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});

	/** @param timeoutMs silence after which a pull fails */
	constructor(private readonly timeoutMs: number) {}

	async pull(address: string, request: PullRequest, signal: AbortSignal): Promise<PullAnswer> {
		const body = Buffer.from(JSON.stringify(request));
		const response = await new Promise<IncomingMessage>((resolve, reject) => {
			const call = httpRequest(`http://${address}/pull`, {
				method: 'POST',
				agent: this.#agent,
				signal,
				timeout: this.timeoutMs,
				headers: {'content-type': 'application/json', 'content-length': body.length},
			}, resolve);
			call.on('error', reject);
			call.on('timeout', () => {
				call.destroy(new Error('The primary gave no answer in time.'));
			});
			call.end(body);
		});
		return await readJson(response) as PullAnswer;
	}

	close(): void {
		this.#agent.destroy();
	}
}
