import {type Member} from '../../membership/index.js';
import {
	defaultDisseminationSettings, type DisseminationContext, type DisseminationOptions, type DocumentContent,
} from '../definitions.js';
import {backoffMs} from '../domain/backoff.js';
import {isDocumentWatcher} from '../domain/watchers.js';
import {ContentFetcher} from './content-fetcher.js';
import {PlatformDocuments} from './platform-documents.js';
import {PlatformWatcher} from './platform-watcher.js';

/**
 * Puts each version of the governing document in force on this process. A few members of each failure domain watch
 * the platform; the others learn of versions through gossip and fetch the content from the member that announced it.
 * The version in force only increases.
 */
export class DocumentDissemination {
	readonly #context: DisseminationContext;
	readonly #fetcher: ContentFetcher;
	readonly #watcher: PlatformWatcher;
	readonly #subscriptions: Array<() => void> = [];
	#isWatcher = false;
	#isStopped = false;
	#refusedVersion = 0;
	#lastConfirmation: {version: number; atMs: number} | undefined;

	constructor(options: DisseminationOptions) {
		this.#context = {
			...options,
			settings: {...defaultDisseminationSettings, ...options.settings},
			isStopped: () => this.#isStopped,
			isSettled: version => version <= Math.max(this.#context.documentReceiver.version, this.#refusedVersion),
			apply: document => {
				this.#apply(document);
			},
		};
		const documents = new PlatformDocuments(this.#context);
		this.#fetcher = new ContentFetcher(this.#context, documents);
		this.#watcher = new PlatformWatcher(this.#context, documents, {
			isWatcher: () => this.#isWatcher,
			onConfirmed: atMs => {
				this.#recordConfirmation(atMs);
			},
		});
	}

	/** Starts the dissemination; resolves once a version is in force, or after `stop`. */
	async start(): Promise<void> {
		const {membership} = this.#context;
		membership.setDocumentConfirmation(this);
		this.#subscriptions.push(
			membership.onChange((member, previous) => {
				this.#handleMemberChange(member, previous);
			}),
			membership.onDocumentVersion((version, from, confirmedAgeMs) => {
				this.#handleAnnouncedVersion(version, from, confirmedAgeMs);
			}),
		);
		this.#updateRole();
		await this.#fetchInitialVersion();
	}

	stop(): void {
		this.#isStopped = true;
		for (const unsubscribe of this.#subscriptions) {
			unsubscribe();
		}
	}

	/** Whether this member watches the platform for its failure domain. */
	isWatcher(): boolean {
		return this.#isWatcher;
	}

	/**
	 * Time in ms since the version in force was last confirmed as current: by an answer of the platform on a watcher,
	 * or by an ack of another member. Undefined if it was never confirmed.
	 */
	confirmedAgeMs(): number | undefined {
		const {timers, documentReceiver} = this.#context;
		return this.#lastConfirmation?.version === documentReceiver.version ? timers.nowMs() - this.#lastConfirmation.atMs : undefined;
	}

	async #fetchInitialVersion(): Promise<void> {
		const {documentReceiver, settings, random, timers} = this.#context;
		await timers.sleep(random() * settings.fetchJitterMs);
		for (let attempt = 1; documentReceiver.version === 0 && !this.#isStopped; attempt += 1) {
			const document = await this.#fetcher.fetchHighest();
			if (document) {
				this.#apply(document);
			}

			if (documentReceiver.version === 0) {
				await timers.sleep(backoffMs(attempt, settings, random));
			}
		}
	}

	#handleMemberChange(member: Member, previous: Member | undefined): void {
		const isSameDomain = member.failureDomain === this.#context.membership.self().failureDomain;
		if (isSameDomain && member.state !== previous?.state) {
			this.#updateRole();
		}
	}

	#updateRole(): void {
		const {membership, settings} = this.#context;
		this.#isWatcher = isDocumentWatcher(membership.self(), membership.members(), settings.watchersPerDomain);
		if (this.#isWatcher) {
			void this.#watcher.run();
		}
	}

	#handleAnnouncedVersion(version: number, from: Member, confirmedAgeMs: number | undefined): void {
		const {documentReceiver, timers} = this.#context;
		if (!this.#context.isSettled(version)) {
			void this.#fetcher.fetchVersion(version, from);
		} else if (version === documentReceiver.version && version > 0 && confirmedAgeMs !== undefined) {
			this.#recordConfirmation(timers.nowMs() - confirmedAgeMs);
		}
	}

	#recordConfirmation(atMs: number): void {
		const {version} = this.#context.documentReceiver;
		if (this.#lastConfirmation?.version !== version || this.#lastConfirmation.atMs < atMs) {
			this.#lastConfirmation = {version, atMs};
		}
	}

	#apply({version, content}: DocumentContent): void {
		const {documentReceiver, membership, logger} = this.#context;
		if (this.#context.isSettled(version) || this.#isStopped) {
			return;
		}

		documentReceiver.offer(version, content);
		if (documentReceiver.version >= version) {
			membership.setDocumentVersion(documentReceiver.version);
		} else {
			this.#refusedVersion = version;
			logger?.warn({version, inForce: documentReceiver.version}, 'Document version refused; keeping the version in force. Correct the document.');
		}
	}
}
