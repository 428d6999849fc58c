import {DocumentStore, parseDocument} from '@dogwoodthread/coordination';
import {
	type Command, type CommandContext, type ExitCode, printError, readSectionOption,
} from '../../../cli/index.js';
import {parseSectionFile} from '../../../section-file/index.js';

const validateAndReport = (context: CommandContext, input: unknown): ExitCode => {
	const parsed = parseDocument(input);
	if (parsed.isErr()) {
		return printError(context, parsed.error);
	}

	context.print({json: {event: 'valid'}, text: 'valid'});
	return 0;
};

/** Validates a file without changing anything. */
export const documentCheck: Command = {
	usage: 'document check <file>',
	description: 'Validate a whole document, or one section together with the others in force at the platform',
	options: [['--section <name>', 'The file is this section; needs --platform']],
	async run(context) {
		const section = readSectionOption(context.options);
		const content = context.readFile(context.args[0] ?? '-');
		if (!section) {
			return validateAndReport(context, content);
		}

		const read = await new DocumentStore(context.platform()).read();
		return read.match(
			({stored}) => validateAndReport(context, {sections: {...stored.sections, [section]: parseSectionFile(content).text}}),
			error => printError(context, error),
		);
	},
};
