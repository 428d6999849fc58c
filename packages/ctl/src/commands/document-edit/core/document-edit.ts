import {
	DocumentStore, editSection, type FieldEdit, parseFieldEdit, sectionTeams, setFields,
} from '@dogwoodthread/coordination';
import {
	changeOptions, readChangeMetadata, submitAndReport, readTimeoutMs,
} from '../../../submit-change/index.js';
import {
	type Command, type CommandOptions, printError, readRequiredSection, UsageError,
} from '../../../cli/index.js';

const readFieldEdits = (options: CommandOptions): FieldEdit[] => {
	const assignments = options.texts('set').map(text => parseFieldEdit(text).match(edit => edit, problem => {
		throw new UsageError(problem);
	}));
	const edits = [...assignments, ...options.texts('unset').map(path => ({path: path.split('/')}))];
	if (edits.length === 0) {
		throw new UsageError('Give --set or --unset at least once.');
	}

	return edits;
};

/** Changes single fields of a section; comments and other lines stay as they are. */
export const documentEdit: Command = {
	usage: 'document edit',
	description: 'Set or remove single fields of a section',
	options: [
		['--section <name>', 'Section to edit'],
		['--set <path=value>', 'Field to set, for example ledger/slots=6; may be repeated'],
		['--unset <path>', 'Field to remove; may be repeated'],
		...changeOptions,
	],
	async run(context) {
		const {options, timers} = context;
		const section = readRequiredSection(options);
		const edits = readFieldEdits(options);
		const metadata = readChangeMetadata(context, sectionTeams[section]);
		const platform = context.platform();
		const read = await new DocumentStore(platform).read();
		if (read.isErr()) {
			return printError(context, read.error);
		}

		const text = setFields(read.value.stored.sections[section], edits);
		if (text.isErr()) {
			throw new UsageError(text.error);
		}

		return submitAndReport(context, metadata.changeId, () => editSection({platform, timers, timeoutMs: readTimeoutMs(options)}, {
			...metadata, section, text: text.value, baseVersion: read.value.version, isRetry: options.text('changeId') !== undefined,
		}));
	},
};
