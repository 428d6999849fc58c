import {createHash} from 'node:crypto';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, type Http2SessionManager} from '@connectrpc/connect-node';
import {type StoredDocument, type TimerService} from '@dogwoodthread/coordination';
import {PeerService} from '@dogwoodthread/protocol';
import {GuardedSessionManager} from '@dogwoodthread/proxy';
import {type Deployment, type ProxyHandle} from '../../deployment/index.js';
import {type ContentObservation, type VersionObservation} from '../definitions.js';

const minPollMs = 50;

/** Keeps the polls of a large fleet at 200 a second, which takes little of the machine. */
const pollPerProxyMs = 5;

const callTimeoutMs = 1000;

type StatusPage = {self: {peerAddress: string}; ready: boolean; document: {version: number}};

const digestOf = (content: string): string => {
	const {value} = JSON.parse(content) as {value: StoredDocument};
	const sorted = (record: object) => Object.entries(record).sort(([a], [b]) => a.localeCompare(b));
	return createHash('sha256').update(JSON.stringify([
		sorted(value.sections), sorted(value.sectionVersions), value.recentChanges.map(({changeId, version}) => [changeId, version]),
	])).digest('hex');
};

/** Polls `/status` of every proxy, and fetches the content of each version that a process shows. */
export class VersionObserver {
	readonly observations: VersionObservation[] = [];
	readonly contents: ContentObservation[] = [];
	readonly #latest = new Map<string, VersionObservation>();
	readonly #sessions = new Map<string, Http2SessionManager>();
	readonly #loops: Array<Promise<void>>;
	#isClosed = false;

	constructor(private readonly deployment: Deployment, private readonly timers: TimerService) {
		this.#loops = deployment.proxies.map(async (_, index) => this.#pollUntilClosed(index));
	}

	/** Last answer of each process that runs now; absent if it has not answered yet. */
	latest(): Array<VersionObservation | undefined> {
		return this.deployment.proxies.map(({hostId, process}) => {
			const found = this.#latest.get(hostId);
			return process.isRunning && found?.processId === process.pid ? found : undefined;
		});
	}

	/** Waits until every process has shown at least `version` and is ready; gives the time that it took. */
	async waitUntilInForce(version: number, timeoutMs: number): Promise<number> {
		const sinceMs = this.timers.nowMs();
		while (!this.latest().every(found => found?.ready && found.version >= version)) {
			if (this.timers.nowMs() > sinceMs + timeoutMs) {
				throw new Error(`Version ${version} is not in force on all ready proxies after ${timeoutMs} ms.`);
			}

			await this.timers.sleep(minPollMs);
		}

		return Math.round(this.timers.nowMs() - sinceMs);
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		await Promise.all(this.#loops);
		for (const session of this.#sessions.values()) {
			session.abort();
		}
	}

	async #pollUntilClosed(index: number): Promise<void> {
		while (!this.#isClosed) {
			const proxy = this.deployment.proxies[index];
			if (proxy?.process.isRunning) {
				await this.#poll(proxy);
			}

			await this.timers.sleep(Math.max(minPollMs, this.deployment.proxies.length * pollPerProxyMs));
		}
	}

	/** A process that is paused or ends does not answer; that is no observation. */
	async #poll({hostId, adminAddress, process}: ProxyHandle): Promise<void> {
		const sentAtMs = this.timers.nowMs();
		try {
			const response = await fetch(`http://${adminAddress}/status`, {signal: AbortSignal.timeout(callTimeoutMs)});
			const {self, ready, document: {version}} = await response.json() as StatusPage;
			const observation = {
				hostId, processId: process.pid, sentAtMs, receivedAtMs: this.timers.nowMs(), version, ready,
			};
			const previous = this.#latest.get(hostId);
			this.observations.push(observation);
			this.#latest.set(hostId, observation);
			if (version > 0 && (previous?.version !== version || previous.processId !== process.pid)) {
				await this.#readContent(hostId, self.peerAddress);
			}
		} catch {}
	}

	async #readContent(hostId: string, peerAddress: string): Promise<void> {
		const baseUrl = `http://${peerAddress}`;
		const sessionManager = this.#sessions.get(peerAddress) ?? new GuardedSessionManager(baseUrl);
		this.#sessions.set(peerAddress, sessionManager);
		const client = createClient(PeerService, createConnectTransport({
			baseUrl, httpVersion: '2', sessionManager, defaultTimeoutMs: callTimeoutMs,
		}));
		const {version, content} = await client.getDocument({knownVersion: 0n});
		if (content) {
			this.contents.push({hostId, version: Number(version), digest: digestOf(content)});
		}
	}
}
