/** Admission control for an instance: interfaces and policies. */
export type {
	Admission, AdmissionLimits, AdmissionRequest, AdmissionStats, ClassStats, ObservableAdmission, Permit, Refusal,
	RefusalKind, WorkClass, WorkResult,
} from './definitions.js';
export {FairAdmission, type FairAdmissionOptions} from './core/fair-admission.js';
export {FifoAdmission, type FifoAdmissionOptions} from './core/fifo-admission.js';
export {WorkClassifier, type WorkClassifierOptions} from './domain/work-classifier.js';
