import {type Platform} from '../../platform/index.js';
import {type TimerService} from '../../timer/index.js';
import {type DocumentError, type PeerDocument, type PeerDocuments} from '../definitions.js';
import {type DocumentInForce} from './document-in-force.js';
import {documentName} from './document-store.js';

export type FollowDocumentOptions = {
	platform: Platform;
	timers: TimerService;
	inForce: DocumentInForce;
	/** Asked while the platform does not answer, and instead of it if this process does not watch. */
	peers?: PeerDocuments;
	/**
	 * Whether this process watches the platform itself; always if left out. At the design size only two
	 * members of each failure domain do, since a waiting watch counts against the platform's rates.
	 */
	shouldWatch?: () => boolean;
	/** Longest wait of one watch, in ms. Also how often an unchanged version is confirmed, and peers are asked. */
	waitMs?: number;
	/** Called for a damaged document and for each failed call. */
	onError?: (error: DocumentError) => void;
	random?: () => number;
};

const defaultWaitMs = 10_000;
const firstPauseMs = 100;
const longestPauseMs = 5000;

/** Keeps the document in force up to date from the platform, and from peers while it is down. */
export class DocumentFollower {
	#stopped = false;
	/** Version at the platform as last seen there, damaged or not. */
	#platformVersion = 0;
	#pauseMs = firstPauseMs;

	constructor(private readonly options: FollowDocumentOptions) {}

	get #watches(): boolean {
		return this.options.shouldWatch?.() ?? true;
	}

	/** Follows until `stop`; a watch that waits then ends on its own. */
	async run(): Promise<void> {
		while (!this.#stopped) {
			if (!this.#watches) {
				await this.askPeers();
				await this.options.timers.sleep(this.options.waitMs ?? defaultWaitMs);
				continue;
			}

			const revision = await this.#readOnce();
			if (revision === undefined) {
				await this.askPeers();
				await this.#pause();
			} else {
				this.#pauseMs = firstPauseMs;
				await this.#watchFrom(revision);
			}
		}
	}

	stop(): void {
		this.#stopped = true;
	}

	/** Takes the newest document that peers have; call it when gossip shows a newer version. */
	async askPeers(): Promise<void> {
		const {peers, inForce, timers} = this.options;
		if (!peers) {
			return;
		}

		const askedAtMs = timers.nowMs();
		const answers = await peers.ask(inForce.version);
		const needFull = this.#takeNewest(answers, askedAtMs);
		if (needFull) {
			this.#takeNewest(await peers.ask(0), timers.nowMs());
		}
	}

	/** Offers the answers, newest first; whether a full document is needed. */
	#takeNewest(answers: PeerDocument[], askedAtMs: number): boolean {
		const {inForce} = this.options;
		const newestFirst = answers.toSorted((a, b) => b.version - a.version);
		let needFull = false;
		for (const {version, content, confirmationAgeMs} of newestFirst) {
			const confirmedAtMs = confirmationAgeMs === undefined ? undefined : askedAtMs - confirmationAgeMs;
			if (content === undefined) {
				inForce.confirm(version, confirmedAtMs);
				continue;
			}

			const offered = inForce.offerContent({version, content, confirmedAtMs});
			if (offered.isErr()) {
				this.options.onError?.(offered.error);
			} else if (offered.value === 'needs-full') {
				needFull = true;
			}
		}

		return needFull;
	}

	async #readOnce(): Promise<number | undefined> {
		const askedAtMs = this.options.timers.nowMs();
		const list = await this.options.platform.list('document');
		if (list.isErr()) {
			this.#reportFailure(list.error.message);
			return undefined;
		}

		const found = list.value.objects.find(({name}) => name === documentName);
		if (found) {
			this.#offer(found.version, found.value, askedAtMs);
		}

		return list.value.revision;
	}

	async #watchFrom(start: number): Promise<void> {
		const {platform, timers, inForce, waitMs = defaultWaitMs} = this.options;
		let revision = start;
		while (!this.#stopped && this.#watches) {
			const askedAtMs = timers.nowMs();
			const batch = await platform.watch('document', revision, waitMs);
			if (batch.isErr()) {
				this.#reportFailure(batch.error.message);
				return;
			}

			revision = batch.value.revision;
			const change = batch.value.changes.findLast(({name}) => name === documentName);
			if (change) {
				this.#offer(change.version, change.value, askedAtMs);
			} else {
				inForce.confirm(this.#platformVersion, askedAtMs);
			}
		}
	}

	#offer(version: number, value: unknown, confirmedAtMs: number): void {
		this.#platformVersion = version;
		const offered = this.options.inForce.offer({version, value, confirmedAtMs});
		if (offered.isErr()) {
			this.options.onError?.(offered.error);
		}
	}

	#reportFailure(message: string): void {
		this.options.onError?.({kind: 'platform-unavailable', message});
	}

	async #pause(): Promise<void> {
		const {timers, random = Math.random} = this.options;
		await timers.sleep(this.#pauseMs * (0.5 + (random() / 2)));
		this.#pauseMs = Math.min(longestPauseMs, this.#pauseMs * 2);
	}
}
