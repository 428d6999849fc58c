import {
	differenceBetweenVersions, computeDifference, type DocumentDifference, DocumentStore, formatDifference, sectionNames,
} from '@dogwoodthread/coordination';
import {
	type Command, type CommandContext, type ExitCode, printError, readRequiredSection, UsageError,
} from '../../../cli/index.js';
import {parseSectionFile} from '../../../section-file/index.js';

const printDifference = ({print}: CommandContext, difference: DocumentDifference): ExitCode => {
	const sectionDifferences = sectionNames.flatMap(section => {
		const hunks = difference[section] ?? [];
		return hunks.length > 0 ? [`section ${section}\n${formatDifference(hunks)}`] : [];
	});
	print({json: {event: 'difference', difference}, text: sectionDifferences.length > 0 ? sectionDifferences.join('\n') : 'no difference'});
	return 0;
};

const compareFile = async (context: CommandContext, path: string): Promise<ExitCode> => {
	const section = readRequiredSection(context.options);
	const {text} = parseSectionFile(context.readFile(path));
	const read = await new DocumentStore(context.platform()).read();
	return read.match(
		({stored}) => printDifference(context, {[section]: computeDifference(stored.sections[section], text)}),
		error => printError(context, error),
	);
};

const compareVersions = async (context: CommandContext): Promise<ExitCode> => {
	const from = context.options.wholeNumber('from');
	if (from === undefined) {
		throw new UsageError('Give --from VERSION, or a file with --section.');
	}

	const store = new DocumentStore(context.platform());
	const to = context.options.wholeNumber('to');
	const compared = await (to === undefined
		? store.read().andThen(({version}) => differenceBetweenVersions(store, from, version))
		: differenceBetweenVersions(store, from, to));
	return compared.match(difference => printDifference(context, difference), error => printError(context, error));
};

/** Shows changed lines between two versions, or between the current section and a file. */
export const documentDiff: Command = {
	usage: 'document diff [file]',
	description: 'Show what changed between two versions, or what a file would change in a section',
	options: [
		['--from <version>', 'Earlier version'],
		['--to <version>', 'Later version; the current one if left out'],
		['--section <name>', 'Section that the file replaces'],
	],
	async run(context) {
		const [path] = context.args;
		return path === undefined ? compareVersions(context) : compareFile(context, path);
	},
};
