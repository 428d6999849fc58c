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
 * Brings each version of the governing document into force on this process. The first members of
 * each failure domain watch the platform; the others learn versions through gossip and fetch the
 * content from the member that announced it. Versions only go up.
 */
export class DocumentDissemination {
	readonly #context: DisseminationContext;
	readonly #fetcher: ContentFetcher;
	readonly #watcher: PlatformWatcher;
	readonly #subscriptions: Array<() => void> = [];
	#isWatcher = false;
	#stopped = false;
	#refusedVersion = 0;
	#confirmed: {version: number; atMs: number} | undefined;

	constructor(options: DisseminationOptions) {
		this.#context = {
			...options,
			settings: {...defaultDisseminationSettings, ...options.settings},
			isStopped: () => this.#stopped,
			isSettled: version => version <= Math.max(this.#context.inForce.version, this.#refusedVersion),
			apply: document => {
				this.#apply(document);
			},
		};
		const documents = new PlatformDocuments(this.#context);
		this.#fetcher = new ContentFetcher(this.#context, documents);
		this.#watcher = new PlatformWatcher(this.#context, documents, {
			isWatcher: () => this.#isWatcher,
			onConfirmed: atMs => {
				this.#confirm(atMs);
			},
		});
	}

	/** Starts watching and listening; resolves once a version is in force, or after `stop`. */
	async start(): Promise<void> {
		const {membership} = this.#context;
		membership.setDocumentConfirmation(this);
		this.#subscriptions.push(
			membership.onChange((member, previous) => {
				this.#followMember(member, previous);
			}),
			membership.onDocumentVersion((version, from, confirmedAgeMs) => {
				this.#learn(version, from, confirmedAgeMs);
			}),
		);
		this.#updateRole();
		await this.#fetchFirst();
	}

	stop(): void {
		this.#stopped = true;
		for (const unsubscribe of this.#subscriptions) {
			unsubscribe();
		}
	}

	/** Whether this member watches the platform for its failure domain. */
	isWatcher(): boolean {
		return this.#isWatcher;
	}

	/**
	 * Time in ms since the version in force was last known to be current: by an answer of the platform
	 * at a watcher, by an answer of another member elsewhere. Undefined if it never was.
	 */
	confirmedAgeMs(): number | undefined {
		const {timers, inForce} = this.#context;
		return this.#confirmed?.version === inForce.version ? timers.nowMs() - this.#confirmed.atMs : undefined;
	}

	async #fetchFirst(): Promise<void> {
		const {inForce, settings, random, timers} = this.#context;
		await timers.sleep(random() * settings.fetchJitterMs);
		for (let attempt = 1; inForce.version === 0 && !this.#stopped; attempt += 1) {
			const document = await this.#fetcher.fetchHighest();
			if (document) {
				this.#apply(document);
			}

			if (inForce.version === 0) {
				await timers.sleep(backoffMs(attempt, settings, random));
			}
		}
	}

	#followMember(member: Member, previous: Member | undefined): void {
		const sameDomain = member.failureDomain === this.#context.membership.self().failureDomain;
		if (sameDomain && member.state !== previous?.state) {
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

	#learn(version: number, from: Member, confirmedAgeMs: number | undefined): void {
		const {inForce, timers} = this.#context;
		if (!this.#context.isSettled(version)) {
			void this.#fetcher.want(version, from);
		} else if (version === inForce.version && version > 0 && confirmedAgeMs !== undefined) {
			this.#confirm(timers.nowMs() - confirmedAgeMs);
		}
	}

	#confirm(atMs: number): void {
		const {version} = this.#context.inForce;
		if (this.#confirmed?.version !== version || this.#confirmed.atMs < atMs) {
			this.#confirmed = {version, atMs};
		}
	}

	#apply({version, content}: DocumentContent): void {
		const {inForce, membership, logger} = this.#context;
		if (this.#context.isSettled(version) || this.#stopped) {
			return;
		}

		inForce.offer(version, content);
		if (inForce.version >= version) {
			membership.setDocumentVersion(inForce.version);
		} else {
			this.#refusedVersion = version;
			logger?.warn({version, inForce: inForce.version}, 'Document version was refused; the earlier one stays in force. Correct the document.');
		}
	}
}
