/** Edits of the governing document under load, and what must hold for them. */
export type {
	ContentObservation, DocumentTruth, EditRecord, HarmCounts, Period, VersionObservation,
} from './definitions.js';
export {Editors, type EditorsOptions} from './core/editors.js';
export {countHarm} from './domain/harm.js';
export {
	type InForceSummary, type InForceTime, measureInForce, summarize,
} from './domain/in-force.js';
export {VersionObserver} from './infra/version-observer.js';
