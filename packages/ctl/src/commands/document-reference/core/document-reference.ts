import {renderDocumentReference as referencePage} from '@dogwoodthread/coordination';
import {type Command} from '../../../cli/index.js';

/** Prints the page docs/document-reference.md. */
export const documentReference: Command = {
	usage: 'document reference',
	description: 'Print the reference of the document\'s fields in Markdown',
	options: [],
	async run({print}) {
		const page = referencePage();
		print({json: {event: 'reference', page}, text: page.trimEnd()});
		return 0;
	},
};
