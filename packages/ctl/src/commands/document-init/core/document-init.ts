import {
	createDocument, defaultDocument, sectionNames, sectionTeams, stringifySections,
} from '@dogwoodthread/coordination';
import {
	changeOptions, readChangeMetadata, submitAndReport, readTimeoutMs,
} from '../../../submit-change/index.js';
import {type Command, UsageError} from '../../../cli/index.js';

/** Creates the governing document on a platform that has none. */
export const documentInit: Command = {
	usage: 'document init',
	description: 'Create the governing document; the author may edit every section at first',
	options: [['--databases <names>', 'Names of the databases, separated by commas'], ...changeOptions],
	async run(context) {
		const {options, timers} = context;
		const names = options.requiredText('databases').split(',').filter(name => name !== '');
		if (names.length === 0) {
			throw new UsageError('Give at least one database.');
		}

		const metadata = readChangeMetadata(context, sectionTeams.operations);
		const authors = Object.fromEntries(sectionNames.map(section => [section, [metadata.author]]));
		return submitAndReport(context, metadata.changeId, () => createDocument({platform: context.platform(), timers, timeoutMs: readTimeoutMs(options)}, {
			...metadata, sections: stringifySections(defaultDocument(names, {authors})),
		}));
	},
};
