import {
	DocumentStore, listChanges, type Platform, type SectionName, sectionNames,
} from '@dogwoodthread/coordination';
import {HttpPlatform} from '@dogwoodthread/proxy';
import {
	countHarm, type DocumentTruth, type EditRecord, Editors, type HarmCounts, type InForceTime, measureInForce, type Period, summarize,
	VersionObserver,
} from '../../governing/index.js';
import {SeededRandom} from '../../workload/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {documentPhases} from './document-phases.js';
import {type DocumentRun} from './document-run.js';

const platformTimeoutMs = 1000;

/** More than any run makes. */
const maxHistory = 10_000;

const inForceFigures = (times: readonly InForceTime[]): Record<string, unknown> => {
	const undisturbed = times.filter(({afterOutageMs}) => afterOutageMs === undefined).map(({inForceMs}) => inForceMs ?? Infinity);
	const phases = [...new Set(times.map(({edit}) => edit.phase))];
	return {
		inForceMs: summarize(undisturbed),
		inForceAfterOutageMs: summarize(times.flatMap(({afterOutageMs}) => afterOutageMs ?? [])),
		inForceMaxMsByPhase: Object.fromEntries(phases.map(phase =>
			[phase, summarize(times.filter(({edit}) => edit.phase === phase).map(({inForceMs}) => inForceMs ?? Infinity)).max])),
	};
};

const refusals = (records: readonly EditRecord[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {outcome, errorKind = 'none'} of records) {
		counts[errorKind] = (counts[errorKind] ?? 0) + (outcome === 'refused' ? 1 : 0);
	}

	return Object.fromEntries(Object.entries(counts).filter(([, count]) => count > 0));
};

/** Races editors of all teams through outages, lost answers, silent watches, a pause and restarts. */
export class DocumentScenario implements Scenario {
	#harm: HarmCounts | undefined;
	readonly #violations: string[] = [];

	get name(): string {
		return 'document';
	}

	get summary(): string {
		return 'teams edit the governing document through outages, lost answers and restarts';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, timers, seed} = context;
		const random = new SeededRandom(seed);
		const platform = new HttpPlatform({baseUrl: deployment.platform.baseUrl, timeoutMs: platformTimeoutMs});
		const editors = new Editors({
			platform, timers, random: random.fork(), seed,
		});
		const run: DocumentRun = {
			context, editors, random, observer: new VersionObserver(deployment, timers), outages: [], pauses: [], violations: this.#violations,
		};
		try {
			for (const [name, phase] of documentPhases) {
				context.log(`document: ${name}`);
				await phase(run);
			}
		} finally {
			await deployment.platform.setFaults({});
			await run.observer.close();
			this.#report(context, await this.#readTruth(run, platform));
		}
	}

	verify(): string[] {
		const harms = Object.entries(this.#harm ?? {}).filter(([, count]) => count > 0);
		return [...this.#violations, ...harms.map(([name, count]) => `${name}: ${count}`)];
	}

	async #readTruth({context, editors, observer, outages, pauses}: DocumentRun, platform: Platform): Promise<DocumentTruth> {
		const store = new DocumentStore(platform);
		const read = await store.read().andThen(({stored}) => listChanges(store, maxHistory).map(history => ({stored, history})));
		if (read.isErr()) {
			throw new Error(`The document cannot be read back: ${read.error.message}`);
		}

		const {stored, history} = read.value;
		const finalTexts = Object.fromEntries(sectionNames.map(name => [name, stored.sections[name]])) as Record<SectionName, string>;
		return {
			edits: editors.records, observations: observer.observations, contents: observer.contents, outages, pauses, finalTexts, history,
			hostIds: context.deployment.proxies.map(({hostId}) => hostId),
		};
	}

	#report({report}: ScenarioContext, truth: DocumentTruth): void {
		this.#harm = countHarm(truth);
		const figures = {
			acceptedChanges: truth.edits.filter(({outcome}) => outcome === 'accepted').length,
			refusedEdits: refusals(truth.edits),
			...this.#harm,
			...inForceFigures(measureInForce(truth)),
			versionObservations: truth.observations.length,
			contentsCompared: truth.contents.length,
		};
		for (const [name, value] of Object.entries(figures)) {
			report(name, value);
		}
	}
}
