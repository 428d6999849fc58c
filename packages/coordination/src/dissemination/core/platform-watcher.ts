import {backoffMs} from '../domain/backoff.js';
import {type DisseminationContext} from '../definitions.js';
import {type PlatformDocuments, type PlatformSnapshot} from './platform-documents.js';

/** Watches the platform by long polling while this member is a watcher for its failure domain. */
export class PlatformWatcher {
	#isRunning = false;
	#platformVersion = 0;
	#consecutiveFailures = 0;

	constructor(
		private readonly context: DisseminationContext,
		private readonly documents: PlatformDocuments,
		private readonly callbacks: {isWatcher(): boolean; onConfirmed(atMs: number): void},
	) {}

	/** Starts the watch unless it is already running; it stops when this member is no longer a watcher. */
	async run(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		while (this.#shouldWatch()) {
			await this.#watchUntilFailure();
			this.#consecutiveFailures += 1;
			if (this.#shouldWatch()) {
				await this.context.timers.sleep(backoffMs(this.#consecutiveFailures, this.context.settings, this.context.random));
			}
		}

		this.#isRunning = false;
	}

	#shouldWatch(): boolean {
		return this.callbacks.isWatcher() && !this.context.isStopped();
	}

	async #watchUntilFailure(): Promise<void> {
		let requestedAtMs = this.context.timers.nowMs();
		let snapshot = await this.documents.read();
		while (snapshot && this.#shouldWatch()) {
			this.#consecutiveFailures = 0;
			this.#processSnapshot(snapshot, requestedAtMs);
			requestedAtMs = this.context.timers.nowMs();
			snapshot = await this.documents.watch(snapshot.revision);
			requestedAtMs = snapshot && !snapshot.document ? this.#emptyAnswerGivenAtMs(requestedAtMs) : requestedAtMs;
		}

		if (!snapshot) {
			this.context.logger?.warn({failures: this.#consecutiveFailures + 1}, 'Platform did not answer the document watch; keeping the version in force');
		}
	}

	/** Time as of which an empty answer confirms the version: the end of the wait if the whole wait has passed, otherwise the request time. */
	#emptyAnswerGivenAtMs(requestedAtMs: number): number {
		const waitedMs = this.context.timers.nowMs() - requestedAtMs;
		return waitedMs >= this.context.settings.watchWaitMs ? requestedAtMs + this.context.settings.watchWaitMs : requestedAtMs;
	}

	#processSnapshot({document}: PlatformSnapshot, requestedAtMs: number): void {
		if (document) {
			this.#platformVersion = document.version;
			this.context.apply(document);
		}

		if (this.#platformVersion > 0 && this.context.documentReceiver.version === this.#platformVersion) {
			this.callbacks.onConfirmed(requestedAtMs);
		}
	}
}
