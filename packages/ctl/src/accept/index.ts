/** Common part of the commands that change the document. */
export {
	changeOptions, changeStatement, reportAcceptance, timeoutOption,
} from './core/accept.js';
