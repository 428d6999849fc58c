import {
	type DocumentError, DocumentInForce, repairDocument, sectionTeams, type VersionedDocument,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {
	changeOptions, readChangeMetadata, submitAndReport, readTimeoutMs,
} from '../../../submit-change/index.js';
import {type Command, type CommandContext, printError} from '../../../cli/index.js';

const createError = (message: string): DocumentError => ({kind: 'no-document', message});

/** Fetches the newest document that any proxy has in force. */
const fetchNewestInForce = async (context: CommandContext): Promise<Result<VersionedDocument, DocumentError>> => {
	const proxies = context.proxies();
	const members = await proxies.fetchMembers();
	if (members.isErr()) {
		return err(createError(members.error.message));
	}

	const newest = members.value.toSorted((a, b) => b.documentVersion - a.documentVersion).at(0);
	const fetched = newest && await proxies.fetchDocument(newest.peerAddress);
	if (!fetched || fetched.isErr()) {
		return err(createError(fetched?.error.message ?? 'The proxy knows of no proxies; ask another one.'));
	}

	const inForce = new DocumentInForce({timers: context.timers});
	return inForce.applyPeerContentIfNewer(fetched.value).andThen(() => inForce.current
		? ok(inForce.current)
		: err(createError('No proxy has a document in force.')));
};

/** Overwrites a damaged document on the platform with the newest version that a proxy has in force. */
export const documentRepair: Command = {
	usage: 'document repair',
	description: 'Replace a damaged document at the platform with the newest version that a proxy has in force; needs --proxy',
	options: changeOptions,
	async run(context) {
		const {options, timers} = context;
		const metadata = readChangeMetadata(context, sectionTeams.operations);
		const platform = context.platform();
		const newestInForce = await fetchNewestInForce(context);
		return newestInForce.isErr()
			? printError(context, newestInForce.error)
			: submitAndReport(context, metadata.changeId, () => repairDocument({platform, timers, timeoutMs: readTimeoutMs(options)}, {
				...metadata, lastKnownGood: newestInForce.value,
			}));
	},
};
