import {
	DocumentStore, editSection, type FieldEdit, parseFieldEdit, sectionTeams, setFields,
} from '@dogwoodthread/coordination';
import {
	changeOptions, changeStatement, reportAcceptance, timeoutOption,
} from '../../../accept/index.js';
import {
	type Command, type CommandOptions, printError, requiredSection, UsageError,
} from '../../../cli/index.js';

const fieldEdits = (options: CommandOptions): FieldEdit[] => {
	const set = options.texts('set').map(text => parseFieldEdit(text).match(edit => edit, problem => {
		throw new UsageError(problem);
	}));
	const edits = [...set, ...options.texts('unset').map(path => ({path: path.split('/')}))];
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
		const section = requiredSection(options);
		const edits = fieldEdits(options);
		const statement = changeStatement(context, sectionTeams[section]);
		const platform = context.platform();
		const read = await new DocumentStore(platform).read();
		if (read.isErr()) {
			return printError(context, read.error);
		}

		const text = setFields(read.value.stored.sections[section], edits);
		if (text.isErr()) {
			throw new UsageError(text.error);
		}

		return reportAcceptance(context, statement.changeId, () => editSection({platform, timers, timeoutMs: timeoutOption(options)}, {
			...statement, section, text: text.value, baseVersion: read.value.version, isRetry: options.text('changeId') !== undefined,
		}));
	},
};
