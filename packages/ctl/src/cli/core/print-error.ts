import {type DocumentError, formatDifference} from '@dogwoodthread/coordination';
import {type CommandContext, type ExitCode} from '../definitions.js';

/** Prints why a command was refused or failed. */
export const printError = ({print}: Pick<CommandContext, 'print'>, error: DocumentError): ExitCode => {
	const {kind, message, mistakes, changesSince, difference} = error;
	const differenceText = difference ? `\nFrom the current text to yours:\n${formatDifference(difference)}` : '';
	print({
		json: {
			event: 'failed', kind, message, mistakes, changesSince, difference,
		},
		text: `${kind}: ${message}${differenceText}`,
	});
	return 1;
};
