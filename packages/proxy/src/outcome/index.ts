/** The three outcomes of a request and the catalogue of their codes. */
export {
	isNotRunCode, notRunCatalogue, unknownCatalogue, type NotRunCode, type UnknownCode,
} from './catalogue.js';
export {
	mergeRetryOutcome, briefRetryAfterMs, done, notRun, unknown,
} from './outcomes.js';
