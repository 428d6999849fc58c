import {type AdmissionRequest, type WorkClass} from '../definitions.js';
import {type WorkClassifier} from './work-classifier.js';

/**
 * Determines the current class of a request. Of a statement that has no stated class and too few samples,
 * one run at a time (the trial) may use a slot for short work; further runs count as long. Otherwise a batch
 * of unknown long statements could occupy all slots before the first one ends.
 */
export class ClassAssignment {
	readonly #statementsInTrial = new Set<string>();

	constructor(private readonly classifier: WorkClassifier) {}

	classOf({statementName, workClass}: AdmissionRequest): WorkClass {
		return workClass === undefined && this.#statementsInTrial.has(statementName)
			? 'long'
			: this.classifier.classify(statementName, workClass);
	}

	onStart({statementName, workClass}: AdmissionRequest, assigned: WorkClass): void {
		if (workClass === undefined && assigned !== 'long' && !this.classifier.isLearned(statementName)) {
			this.#statementsInTrial.add(statementName);
		}
	}

	/** Records the end of a run. Returns true if the class of queued requests of this statement may have changed. */
	onEnd({statementName, workClass}: AdmissionRequest, assigned: WorkClass, completedServiceMs: number | undefined): boolean {
		const classBefore = this.classifier.classify(statementName, undefined);
		// Only the trial run itself ends the trial, not runs of the same statement that counted as long.
		const hasEndedTrial = workClass === undefined && assigned !== 'long' && this.#statementsInTrial.delete(statementName);
		if (completedServiceMs !== undefined) {
			this.classifier.observe(statementName, completedServiceMs);
		}

		return hasEndedTrial || this.classifier.classify(statementName, undefined) !== classBefore;
	}
}
