import {
	type DocumentError, DocumentInForce, repairDocument, sectionTeams, type VersionedDocument,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {
	changeOptions, changeStatement, reportAcceptance, timeoutOption,
} from '../../../accept/index.js';
import {type Command, type CommandContext, printError} from '../../../cli/index.js';

const failure = (message: string): DocumentError => ({kind: 'no-document', message});

/** Newest document that any proxy has in force. */
const newestInForce = async (context: CommandContext): Promise<Result<VersionedDocument, DocumentError>> => {
	const proxies = context.proxies();
	const members = await proxies.members();
	if (members.isErr()) {
		return err(failure(members.error.message));
	}

	const newest = members.value.toSorted((a, b) => b.documentVersion - a.documentVersion).at(0);
	const fetched = newest && await proxies.document(newest.peerAddress);
	if (!fetched || fetched.isErr()) {
		return err(failure(fetched?.error.message ?? 'The proxy knows of no proxies; ask another one.'));
	}

	const inForce = new DocumentInForce({timers: context.timers});
	return inForce.applyPeerContentIfNewer(fetched.value).andThen(() => inForce.current
		? ok(inForce.current)
		: err(failure('No proxy has a document in force.')));
};

/** Writes the version that the proxies have in force over a damaged object at the platform. */
export const documentRepair: Command = {
	usage: 'document repair',
	description: 'Replace a damaged document at the platform with the newest version that a proxy has in force; needs --proxy',
	options: changeOptions,
	async run(context) {
		const {options, timers} = context;
		const statement = changeStatement(context, sectionTeams.operations);
		const platform = context.platform();
		const lastGood = await newestInForce(context);
		return lastGood.isErr()
			? printError(context, lastGood.error)
			: reportAcceptance(context, statement.changeId, () => repairDocument({platform, timers, timeoutMs: timeoutOption(options)}, {
				...statement, lastKnownGood: lastGood.value,
			}));
	},
};
