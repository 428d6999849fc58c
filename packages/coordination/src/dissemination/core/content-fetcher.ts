import {type Member} from '../../membership/index.js';
import {sample} from '../../random/index.js';
import {backoffMs} from '../domain/backoff.js';
import {type DisseminationContext, type DocumentContent} from '../definitions.js';
import {type PlatformDocuments} from './platform-documents.js';
import {withTimeout} from './with-timeout.js';

/** Fetches contents from the members that have them, and from the platform if none gives one. */
export class ContentFetcher {
	#running = false;
	#wantedVersion = 0;
	#source: Member | undefined;

	constructor(private readonly context: DisseminationContext, private readonly documents: PlatformDocuments) {}

	/** Notes that `from` has `version`, and fetches until that version or a later one is in force. */
	async want(version: number, from: Member): Promise<void> {
		if (version <= this.#wantedVersion || this.context.isSettled(version)) {
			return;
		}

		this.#wantedVersion = version;
		this.#source = from;
		if (!this.#running) {
			this.#running = true;
			await this.#fetchWanted();
			this.#running = false;
		}
	}

	/** The highest version that the platform or, if it does not answer, several peers have. */
	async fetchHighest(): Promise<DocumentContent | undefined> {
		const snapshot = await this.documents.read();
		if (snapshot?.document) {
			return snapshot.document;
		}

		const answers = await Promise.all(this.#peersWith(0).map(async peer => this.#fetchFrom(peer)));
		return answers.filter(answer => answer !== undefined).sort((a, b) => b.version - a.version).at(0);
	}

	async #fetchWanted(): Promise<void> {
		const {timers, settings, random} = this.context;
		await timers.sleep(random() * settings.fetchJitterMs);
		let failures = 0;
		while (!this.context.isSettled(this.#wantedVersion) && !this.context.isStopped()) {
			const askedFor = this.#wantedVersion;
			const fetched = await this.#fetchOnce();
			if (fetched) {
				this.context.apply(fetched);
			}

			if (!this.context.isSettled(askedFor)) {
				failures += 1;
				await timers.sleep(backoffMs(failures, settings, random));
			}
		}
	}

	async #fetchOnce(): Promise<DocumentContent | undefined> {
		const source = this.#source;
		const others = this.#peersWith(this.#wantedVersion).filter(peer => peer.hostId !== source?.hostId);
		for (const peer of source ? [source, ...others] : others) {
			const fetched = await this.#fetchFrom(peer);
			if (fetched && fetched.version > this.context.inForce.version) {
				return fetched;
			}
		}

		const snapshot = await this.documents.read();
		return snapshot?.document;
	}

	async #fetchFrom(peer: Member): Promise<DocumentContent | undefined> {
		const {peers, timers, settings, inForce} = this.context;
		const result = await withTimeout(timers, settings.callTimeoutMs, peers.fetch(peer.peerAddress, inForce.version));
		return result?.unwrapOr(undefined);
	}

	#peersWith(version: number): Member[] {
		const {membership, random, settings} = this.context;
		const selfId = membership.self().hostId;
		const able = membership.members().filter(member => member.hostId !== selfId && member.state !== 'dead' && member.documentVersion >= version);
		return sample(able, settings.peersToAsk, random);
	}
}
