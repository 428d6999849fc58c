import {errAsync, ResultAsync, type Result} from 'neverthrow';
import {
	type Acceptance, createDocument, defaultDocument, type DocumentResult, editSection, type MemoryPlatform, type ObjectKind, type Platform,
	type PlatformError, type SectionEdit, sectionTeams, sectionTexts, SystemTimerService,
} from '../../src/index.js';

/** Waits a twentieth of each pause, so that retries do not slow the tests down. */
class QuickTimerService extends SystemTimerService {
	override async sleep(delayMs: number): Promise<void> {
		return super.sleep(delayMs / 20);
	}
}

export const timers = new QuickTimerService();
export const texts = sectionTexts(defaultDocument(['ledger', 'tins']));

/** What happens to one put of the governing document. */
export type PutFault =
	| 'none'
	/** The put takes effect; its answer is lost. */
	| 'answer-lost'
	/** The put is lost before its effect. */
	| 'request-lost'
	/** The put takes effect only after the next read; its answer is lost. */
	| 'late-effect'
	/** The put is refused by an outage that says so. */
	| 'refused';

const unavailable = (outcomeKnown: boolean): PlatformError => ({kind: 'unavailable', message: 'fault', outcomeKnown});

/** A platform that has the given faults at successive puts of the document, and may be down. */
export class FaultyPlatform implements Platform {
	down = false;
	/** Number of calls of any kind that fail next. */
	failNext = 0;
	calls = 0;
	/** Runs after a put of the document that took effect without an answer. */
	afterPut: (() => Promise<void>) | undefined;
	readonly #late: Array<() => Promise<unknown>> = [];

	constructor(readonly memory: MemoryPlatform, private readonly faults: PutFault[] = []) {}

	get(kind: ObjectKind, name: string) {
		return this.#call(() => new ResultAsync(this.#getThenLate(kind, name)));
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
		this.calls += 1;
		if (this.down || this.failNext > 0) {
			this.failNext -= 1;
			return errAsync(unavailable(true));
		}

		return call();
	}

	async #getThenLate(kind: ObjectKind, name: string) {
		const found = await this.memory.get(kind, name);
		await Promise.all(this.#late.splice(0).map(async effect => effect()));
		return found;
	}

	async #put(effect: () => Promise<Result<number, PlatformError>>): Promise<Result<number, PlatformError>> {
		const fault = this.faults.shift() ?? 'none';
		if (fault === 'answer-lost') {
			await effect();
			await this.afterPut?.();
		} else if (fault === 'late-effect') {
			this.#late.push(effect);
		}

		return fault === 'none' ? effect() : errAsync(unavailable(fault === 'refused'));
	}
}

export const create = (platform: Platform): DocumentResult<Acceptance> => createDocument({platform, timers, timeoutMs: 2000}, {
	changeId: 'creation', team: 'on-call', author: 'on-call', reason: 'first document', sections: texts,
});

/** An edit by the section's own team that adds a comment line, unless `overrides` says otherwise. */
export const edit = (platform: Platform, overrides: Partial<SectionEdit>, timeoutMs = 5000): DocumentResult<Acceptance> => {
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

/** How an edit ended: its error kind, or `accepted`. */
export const outcomeOf = async (result: DocumentResult<Acceptance>): Promise<string> => {
	const settled = await result;
	return settled.isOk() ? 'accepted' : settled.error.kind;
};
