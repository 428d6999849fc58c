import {editSection, sectionTeams} from '@dogwoodthread/coordination';
import {
	changeOptions, readChangeMetadata, submitAndReport, readTimeoutMs,
} from '../../../submit-change/index.js';
import {type Command, readRequiredSection, UsageError} from '../../../cli/index.js';
import {parseSectionFile} from '../../../section-file/index.js';

/** Replaces a section with the content of a file. */
export const documentApply: Command = {
	usage: 'document apply <file>',
	description: 'Replace a section with a file made from "document show --section"; - reads standard input',
	options: [
		['--section <name>', 'Section to replace'],
		['--base <version>', 'Version that the file was made from, if its first line does not say so'],
		...changeOptions,
	],
	async run(context) {
		const {options, timers} = context;
		const section = readRequiredSection(options);
		const file = parseSectionFile(context.readFile(context.args[0] ?? '-'));
		const baseVersion = options.wholeNumber('base') ?? file.version;
		if (baseVersion === undefined) {
			throw new UsageError('Give --base VERSION, or start from the output of "document show --section", so that edits by others in the meantime are noticed.');
		}

		if (file.section !== undefined && file.section !== section) {
			throw new UsageError(`The file is section ${file.section}, not ${section}.`);
		}

		const metadata = readChangeMetadata(context, sectionTeams[section]);
		return submitAndReport(context, metadata.changeId, () => editSection({platform: context.platform(), timers, timeoutMs: readTimeoutMs(options)}, {
			...metadata, section, text: file.text, baseVersion, isRetry: options.text('changeId') !== undefined,
		}));
	},
};
