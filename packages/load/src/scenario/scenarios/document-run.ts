import {type Editors, type Period, type VersionObserver} from '../../governing/index.js';
import {type SeededRandom} from '../../workload/index.js';
import {type ScenarioContext} from '../definitions.js';

/** What the phases of the scenario share. */
export type DocumentRun = {
	context: ScenarioContext;
	editors: Editors;
	observer: VersionObserver;
	random: SeededRandom;
	outages: Period[];
	pauses: Array<Period & {hostId: string}>;
	violations: string[];
};
