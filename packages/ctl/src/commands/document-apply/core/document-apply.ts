import {editSection, sectionTeams} from '@dogwoodthread/coordination';
import {
	changeOptions, changeStatement, reportAcceptance, timeoutOption,
} from '../../../accept/index.js';
import {type Command, requiredSection, UsageError} from '../../../cli/index.js';
import {readSectionFile} from '../../../section-file/index.js';

/** Replaces a section with a file. */
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
		const section = requiredSection(options);
		const file = readSectionFile(context.readFile(context.args[0] ?? '-'));
		const baseVersion = options.count('base') ?? file.version;
		if (baseVersion === undefined) {
			throw new UsageError('Give --base VERSION, or start from the output of "document show --section", so that edits by others in the meantime are noticed.');
		}

		if (file.section !== undefined && file.section !== section) {
			throw new UsageError(`The file is section ${file.section}, not ${section}.`);
		}

		const statement = changeStatement(context, sectionTeams[section]);
		return reportAcceptance(context, statement.changeId, () => editSection({platform: context.platform(), timers, timeoutMs: timeoutOption(options)}, {
			...statement, section, text: file.text, baseVersion, isRetry: options.text('changeId') !== undefined,
		}));
	},
};
