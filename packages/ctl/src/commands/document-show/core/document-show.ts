import {DocumentStore} from '@dogwoodthread/coordination';
import {
	type Command, printError, readSectionOption,
} from '../../../cli/index.js';
import {formatDocumentFile, formatSectionFile} from '../../../section-file/index.js';

/** Prints the document, or one section in the format that `document apply` reads. */
export const documentShow: Command = {
	usage: 'document show',
	description: 'Print the governing document, or one section of it',
	options: [['--section <name>', 'Print only this section, in the form that "document apply" takes']],
	async run(context) {
		const section = readSectionOption(context.options);
		const read = await new DocumentStore(context.platform()).read();
		if (read.isErr()) {
			return printError(context, read.error);
		}

		const {version, stored, document} = read.value;
		context.print(section
			? {
				json: {
					event: 'section', version, section, text: stored.sections[section], value: document[section],
				}, text: formatSectionFile(section, read.value).trimEnd(),
			}
			: {json: {event: 'document', version, document}, text: formatDocumentFile(read.value).trimEnd()});
		return 0;
	},
};
