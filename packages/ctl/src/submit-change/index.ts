/** Shared by the commands that change the governing document: options, submission and report of the outcome. */
export {
	changeOptions, readChangeMetadata, submitAndReport, readTimeoutMs,
} from './core/submit-change.js';
