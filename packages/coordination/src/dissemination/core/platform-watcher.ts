import {backoffMs} from '../domain/backoff.js';
import {type DisseminationContext} from '../definitions.js';
import {type PlatformDocuments, type PlatformSnapshot} from './platform-documents.js';

/** Long-poll watch of the platform, kept while this member is a watcher of its failure domain. */
export class PlatformWatcher {
	#running = false;
	#platformVersion = 0;
	#failures = 0;

	constructor(
		private readonly context: DisseminationContext,
		private readonly documents: PlatformDocuments,
		private readonly parts: {isWatcher(): boolean; onConfirmed(atMs: number): void},
	) {}

	/** Starts the watch unless it runs already; it ends by itself when the role does. */
	async run(): Promise<void> {
		if (this.#running) {
			return;
		}

		this.#running = true;
		while (this.#isWanted()) {
			await this.#watchUntilFailure();
			this.#failures += 1;
			if (this.#isWanted()) {
				await this.context.timers.sleep(backoffMs(this.#failures, this.context.settings, this.context.random));
			}
		}

		this.#running = false;
	}

	#isWanted(): boolean {
		return this.parts.isWatcher() && !this.context.isStopped();
	}

	async #watchUntilFailure(): Promise<void> {
		let askedMs = this.context.timers.nowMs();
		let snapshot = await this.documents.read();
		while (snapshot && this.#isWanted()) {
			this.#failures = 0;
			this.#take(snapshot, askedMs);
			askedMs = this.context.timers.nowMs();
			snapshot = await this.documents.watch(snapshot.revision);
			askedMs = snapshot && !snapshot.document ? this.#emptyAnswerMs(askedMs) : askedMs;
		}

		if (!snapshot) {
			this.context.logger?.warn({failures: this.#failures + 1}, 'The platform does not answer the document watch; the version in force stays');
		}
	}

	/** An empty answer that came after the whole wait was given at its end, not at its start. */
	#emptyAnswerMs(askedMs: number): number {
		const waitedMs = this.context.timers.nowMs() - askedMs;
		return waitedMs >= this.context.settings.watchWaitMs ? askedMs + this.context.settings.watchWaitMs : askedMs;
	}

	#take({document}: PlatformSnapshot, askedMs: number): void {
		if (document) {
			this.#platformVersion = document.version;
			this.context.apply(document);
		}

		if (this.#platformVersion > 0 && this.context.inForce.version === this.#platformVersion) {
			this.parts.onConfirmed(askedMs);
		}
	}
}
