/** Common part of the commands that change the document. */
export {
	changeOptions, readChangeMetadata, submitAndReport, readTimeoutMs,
} from './core/submit-change.js';
