/** Admission of work at an instance: ports and policies. */
export type {
	Admission, AdmissionLimits, AdmissionRequest, Permit, Refusal, RefusalKind, WorkClass, WorkResult,
} from './definitions.js';
