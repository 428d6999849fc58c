import {errAsync, ResultAsync, type Result} from 'neverthrow';
import {
	type AcceptedChange, createDocument, defaultDocument, type DocumentResult, editSection, type MemoryPlatform, type ObjectKind, type Platform,
	type PlatformError, type SectionEdit, sectionTeams, stringifySections, SystemTimerService,
} from '../../src/index.js';

/** Divides each sleep by 20, so that the backoff of retries does not slow the tests down. */
class AcceleratedTimerService extends SystemTimerService {
	override async sleep(delayMs: number): Promise<void> {
		return super.sleep(delayMs / 20);
	}
}

export const timers = new AcceleratedTimerService();
export const texts = stringifySections(defaultDocument(['ledger', 'tins']));

/** Fault injected into one put of the governing document. */
export type PutFault =
	| 'none'
	/** The put takes effect; its answer is lost. */
	| 'answer-lost'
	/** The request is lost; the put never takes effect. */
	| 'request-lost'
	/** The put takes effect only after the next read; its answer is lost. */
	| 'late-effect'
	/** The put fails during an outage, with an error that states that nothing changed. */
	| 'refused';

const unavailableError = (outcomeKnown: boolean): PlatformError => ({kind: 'unavailable', message: 'fault', outcomeKnown});

/** Platform that applies the given faults to successive puts of the document, and can be down. */
export class FaultyPlatform implements Platform {
	isDown = false;
	/** Number of next calls, of any kind, that fail. */
	failingCallCount = 0;
	callCount = 0;
	/** Runs after a put of the document that took effect but whose answer is lost. */
	afterUnansweredPut: (() => Promise<void>) | undefined;
	/** Puts that take effect after the next read. */
	readonly #lateEffects: Array<() => Promise<unknown>> = [];

	constructor(readonly memory: MemoryPlatform, private readonly faults: PutFault[] = []) {}

	get(kind: ObjectKind, name: string) {
		return this.#call(() => new ResultAsync(this.#getThenApplyLateEffects(kind, name)));
	}

	list(kind: ObjectKind) {
		return this.#call(() => this.memory.list(kind));
	}

	put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number) {
		return this.#call(() => kind === 'document'
			? new ResultAsync(this.#put(async () => this.memory.put(kind, name, value, expectedVersion)))
			: this.memory.put(kind, name, value, expectedVersion));
	}

	remove(kind: ObjectKind, name: string, expectedVersion: number) {
		return this.memory.remove(kind, name, expectedVersion);
	}

	watch(kind: ObjectKind, revision: number, waitMs: number) {
		return this.#call(() => this.memory.watch(kind, revision, waitMs));
	}

	hosts() {
		return this.memory.hosts();
	}

	#call<T>(call: () => ResultAsync<T, PlatformError>): ResultAsync<T, PlatformError> {
		this.callCount += 1;
		if (this.isDown || this.failingCallCount > 0) {
			this.failingCallCount -= 1;
			return errAsync(unavailableError(true));
		}

		return call();
	}

	async #getThenApplyLateEffects(kind: ObjectKind, name: string) {
		const found = await this.memory.get(kind, name);
		await Promise.all(this.#lateEffects.splice(0).map(async effect => effect()));
		return found;
	}

	async #put(effect: () => Promise<Result<number, PlatformError>>): Promise<Result<number, PlatformError>> {
		const fault = this.faults.shift() ?? 'none';
		if (fault === 'answer-lost') {
			await effect();
			await this.afterUnansweredPut?.();
		} else if (fault === 'late-effect') {
			this.#lateEffects.push(effect);
		}

		return fault === 'none' ? effect() : errAsync(unavailableError(fault === 'refused'));
	}
}

export const createFirstDocument = (platform: Platform): DocumentResult<AcceptedChange> => createDocument({platform, timers, timeoutMs: 2000}, {
	changeId: 'creation', team: 'on-call', author: 'on-call', reason: 'first document', sections: texts,
});

/** An edit by the section's own team that adds a comment line, unless `overrides` says otherwise. */
export const submitEdit = (platform: Platform, overrides: Partial<SectionEdit>, timeoutMs = 5000): DocumentResult<AcceptedChange> => {
	const section = overrides.section ?? 'databases';
	return editSection({platform, timers, timeoutMs}, {
		changeId: 'change-1',
		section,
		team: sectionTeams[section],
		author: sectionTeams[section],
		reason: 'more work',
		text: `# ${overrides.changeId ?? 'change-1'}\n${texts[section]}`,
		...overrides,
	});
};

/** Outcome of an edit: its error kind, or `accepted`. */
export const outcomeOf = async (result: DocumentResult<AcceptedChange>): Promise<string> => {
	const settled = await result;
	return settled.isOk() ? 'accepted' : settled.error.kind;
};
