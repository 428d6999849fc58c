import {type Member} from '../../membership/index.js';
import {sample} from '../../random/index.js';
import {backoffMs} from '../domain/backoff.js';
import {type DisseminationContext, type DocumentContent} from '../definitions.js';
import {type PlatformDocuments} from './platform-documents.js';
import {withTimeout} from './with-timeout.js';

/** Fetches contents from members that have them, and from the platform if no member returns one. */
export class ContentFetcher {
	#isRunning = false;
	#targetVersion = 0;
	#announcer: Member | undefined;

	constructor(private readonly context: DisseminationContext, private readonly documents: PlatformDocuments) {}

	/** Records that `from` has `version`, and fetches until the version is settled. */
	async fetchVersion(version: number, from: Member): Promise<void> {
		if (version <= this.#targetVersion || this.context.isSettled(version)) {
			return;
		}

		this.#targetVersion = version;
		this.#announcer = from;
		if (!this.#isRunning) {
			this.#isRunning = true;
			await this.#fetchUntilSettled();
			this.#isRunning = false;
		}
	}

	/** Fetches the document from the platform or, if the platform returns none, the highest version of several peers. */
	async fetchHighest(): Promise<DocumentContent | undefined> {
		const snapshot = await this.documents.read();
		if (snapshot?.document) {
			return snapshot.document;
		}

		const answers = await Promise.all(this.#samplePeersWithVersion(0).map(async peer => this.#fetchFrom(peer)));
		return answers.filter(answer => answer !== undefined).sort((a, b) => b.version - a.version).at(0);
	}

	async #fetchUntilSettled(): Promise<void> {
		const {timers, settings, random} = this.context;
		await timers.sleep(random() * settings.fetchJitterMs);
		let failures = 0;
		while (!this.context.isSettled(this.#targetVersion) && !this.context.isStopped()) {
			const requestedVersion = this.#targetVersion;
			const fetched = await this.#fetchOnce();
			if (fetched) {
				this.context.apply(fetched);
			}

			if (!this.context.isSettled(requestedVersion)) {
				failures += 1;
				await timers.sleep(backoffMs(failures, settings, random));
			}
		}
	}

	async #fetchOnce(): Promise<DocumentContent | undefined> {
		const announcer = this.#announcer;
		const others = this.#samplePeersWithVersion(this.#targetVersion).filter(peer => peer.hostId !== announcer?.hostId);
		for (const peer of announcer ? [announcer, ...others] : others) {
			const fetched = await this.#fetchFrom(peer);
			if (fetched && fetched.version > this.context.documentReceiver.version) {
				return fetched;
			}
		}

		const snapshot = await this.documents.read();
		return snapshot?.document;
	}

	async #fetchFrom(peer: Member): Promise<DocumentContent | undefined> {
		const {peers, timers, settings, documentReceiver} = this.context;
		const result = await withTimeout(timers, settings.callTimeoutMs, peers.fetch(peer.peerAddress, documentReceiver.version));
		return result?.unwrapOr(undefined);
	}

	#samplePeersWithVersion(version: number): Member[] {
		const {membership, random, settings} = this.context;
		const selfId = membership.self().hostId;
		const candidates = membership.members().filter(member => member.hostId !== selfId && member.state !== 'dead' && member.documentVersion >= version);
		return sample(candidates, settings.maxPeersPerFetch, random);
	}
}
