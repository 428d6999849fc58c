/** The three outcomes of a request and their catalogue of codes. */
export {
	isNotRunCode, notRunCatalogue, unknownCatalogue, type NotRunCode, type UnknownCode,
} from './catalogue.js';
export {
	afterRetry, briefRetryAfterMs, done, notRun, unknown,
} from './outcomes.js';
