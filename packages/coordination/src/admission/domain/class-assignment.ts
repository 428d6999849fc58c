import {type AdmissionRequest, type WorkClass} from '../definitions.js';
import {type WorkClassifier} from './work-classifier.js';

/**
 * Class under which a request runs at present. Of a statement without a stated class that has not
 * proven short yet, one run at a time takes a slot of short work and further ones count as long:
 * otherwise a batch of unknown long statements could take all slots before the first one ends.
 */
export class ClassAssignment {
	readonly #trials = new Set<string>();

	constructor(private readonly classifier: WorkClassifier) {}

	classOf({statementName, workClass}: AdmissionRequest): WorkClass {
		return workClass === undefined && this.#trials.has(statementName)
			? 'long'
			: this.classifier.classify(statementName, workClass);
	}

	onStart({statementName, workClass}: AdmissionRequest, assigned: WorkClass): void {
		if (workClass === undefined && assigned !== 'long' && !this.classifier.isProven(statementName)) {
			this.#trials.add(statementName);
		}
	}

	/** Takes in the end of a run; true if the class of waiting requests of this statement may have changed. */
	onEnd({statementName, workClass}: AdmissionRequest, assigned: WorkClass, completedMs: number | undefined): boolean {
		const wasLong = this.classifier.classify(statementName, undefined);
		// A run of the same statement that counted as long ends no trial.
		const endedTrial = workClass === undefined && assigned !== 'long' && this.#trials.delete(statementName);
		if (completedMs !== undefined) {
			this.classifier.observe(statementName, completedMs);
		}

		return endedTrial || this.classifier.classify(statementName, undefined) !== wasLong;
	}
}
