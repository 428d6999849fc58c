import {type ChangeRecord, DocumentStore, listChanges} from '@dogwoodthread/coordination';
import {type Command, printError, toInlineText} from '../../../cli/index.js';

const defaultChangeLimit = 20;

const formatChange = ({version, atUnixMs, section, team, author, reason, changeId}: ChangeRecord): string =>
	`${version}  ${new Date(atUnixMs).toISOString()}  ${section}  ${toInlineText(author)} (${toInlineText(team)}): ${toInlineText(reason)}  [${toInlineText(changeId)}]`;

/** Lists accepted changes, newest first. */
export const documentHistory: Command = {
	usage: 'document history',
	description: 'List accepted changes, newest first',
	options: [['--limit <n>', `Changes to list; ${defaultChangeLimit} if left out`]],
	async run(context) {
		const limit = context.options.wholeNumber('limit') ?? defaultChangeLimit;
		const changes = await listChanges(new DocumentStore(context.platform()), Math.max(1, limit));
		return changes.match(list => {
			for (const change of list) {
				context.print({json: {event: 'change', ...change}, text: formatChange(change)});
			}

			return 0;
		}, error => printError(context, error));
	},
};
