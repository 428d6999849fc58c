import {
	DocumentStore, editSection, type Platform, type SectionEdit, type SectionName, sectionTeams, type TimerService, type VersionedDocument,
} from '@dogwoodthread/coordination';
import {type SeededRandom} from '../../workload/index.js';
import {type EditRecord} from '../definitions.js';
import {markerOf} from '../domain/harm.js';
import {CountingPlatform} from '../infra/counting-platform.js';

/** Short, so that an outage of a few seconds is seen as an error by some authors. */
const editTimeoutMs = 1500;

/** An author gives up on an edit after this time. */
const giveUpMs = 60_000;

const retryPauseMs = 100;

/** Longest time from reading the section to handing in the edit. */
const maxThinkMs = 150;

export type EditorsOptions = {
	platform: Platform;
	timers: TimerService;
	random: SeededRandom;
	seed: number;
};

/** Authors of all teams, and what they were told about their edits. */
export class Editors {
	readonly records: EditRecord[] = [];
	#calls = 0;
	#edits = 0;
	#lastRead: VersionedDocument | undefined;

	constructor(private readonly options: EditorsOptions) {}

	/** Calls that the authors made to the platform. */
	get calls(): number {
		return this.#calls;
	}

	/** Repeats an edit until it is accepted; each attempt whose outcome is known and negative is an edit of its own. */
	async edit(section: SectionName, phase: string): Promise<EditRecord> {
		const deadlineMs = this.options.timers.nowMs() + giveUpMs;
		for (;;) {
			const record = await this.#attempt(section, phase, deadlineMs);
			this.records.push(record);
			if (record.outcome !== 'refused' || this.options.timers.nowMs() > deadlineMs) {
				return record;
			}

			await this.options.timers.sleep(retryPauseMs);
		}
	}

	async #attempt(section: SectionName, phase: string, deadlineMs: number): Promise<EditRecord> {
		const {timers, random, seed} = this.options;
		this.#edits += 1;
		const changeId = `load-${seed}-${this.#edits}`;
		const thinkMs = random.int(0, maxThinkMs);
		const platform = new CountingPlatform(this.options.platform, timers);
		const current = await this.#read(platform);
		await timers.sleep(thinkMs);
		const {version, stored} = current;
		const outcome = await this.#handIn(platform, {
			changeId, section, text: `${stored.sections[section]}${markerOf(changeId)}\n`, baseVersion: version,
			team: sectionTeams[section], author: sectionTeams[section], reason: `Load run, ${phase}`,
		}, deadlineMs);
		this.#calls += platform.calls;
		return {
			changeId, section, phase, ...outcome,
		};
	}

	/** Without the platform, an author works on the text that was read last. */
	async #read(platform: Platform): Promise<VersionedDocument> {
		const read = await new DocumentStore(platform).read();
		this.#lastRead = read.unwrapOr(this.#lastRead);
		if (!this.#lastRead) {
			throw new Error(`The document cannot be read: ${read._unsafeUnwrapErr().message}`);
		}

		return this.#lastRead;
	}

	/** An unknown outcome is resolved by repeating the edit with its change id, as the error demands. */
	async #handIn(platform: CountingPlatform, edit: SectionEdit, deadlineMs: number): Promise<Pick<EditRecord, 'outcome' | 'errorKind' | 'acceptedVersion' | 'acceptedAtMs'>> {
		const {timers} = this.options;
		for (let isRepeat = false; ; isRepeat = true) {
			const result = await editSection({platform, timers, timeoutMs: editTimeoutMs}, {...edit, isRetry: isRepeat});
			if (result.isOk()) {
				return {outcome: 'accepted', acceptedVersion: result.value.acceptedVersion, acceptedAtMs: platform.documentPutAtMs};
			}

			const {kind} = result.error;
			// While an earlier attempt's outcome is open, "nothing changed" speaks of the repeat only.
			const isOpen = kind === 'outcome-unknown' || (isRepeat && kind === 'platform-unavailable');
			if (!isOpen) {
				return {outcome: 'refused', errorKind: kind};
			}

			if (timers.nowMs() > deadlineMs) {
				return {outcome: 'unresolved', errorKind: kind};
			}

			await timers.sleep(retryPauseMs);
		}
	}
}
