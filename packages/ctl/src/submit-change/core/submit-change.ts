import {type AcceptedChange, type ChangeMetadata, type DocumentResult} from '@dogwoodthread/coordination';
import {
	type CommandContext, type CommandOptions, type ExitCode, type OptionDefinition, printError, UsageError,
} from '../../cli/index.js';
import {awaitInForce, formatProxyNames, type ProxyView} from '../../proxies/index.js';

/** A change is in force on all proxies within 9 s at the design size; the margin covers a slow answer to the member query. */
const defaultTimeoutMs = 30_000;

/** Options of every command that changes the document. */
export const changeOptions: readonly OptionDefinition[] = [
	['--author <name>', 'Who makes the change'],
	['--reason <text>', 'Why, for the history'],
	['--team <name>', 'Team of the author; the team that owns the section if left out'],
	['--change-id <id>', 'Id of an earlier attempt whose outcome is unknown; it is applied at most once'],
	['--timeout-ms <n>', `Longest wait for the platform, and then for the proxies; ${defaultTimeoutMs} if left out`],
];

/** Reads the id, team, author and reason of a change from the options. */
export const readChangeMetadata = ({options, newChangeId}: CommandContext, defaultTeam: string): ChangeMetadata => {
	const changeId = options.text('changeId') ?? newChangeId();
	if (/^[\d.]*$/.test(changeId)) {
		throw new UsageError('--change-id must contain a letter, because the arguments are read as numbers otherwise.');
	}

	return {
		changeId,
		team: options.text('team') ?? defaultTeam,
		author: options.requiredText('author'),
		reason: options.requiredText('reason'),
	};
};

export const readTimeoutMs = (options: CommandOptions): number => options.wholeNumber('timeoutMs') ?? defaultTimeoutMs;

const awaitAndReportInForce = async (context: CommandContext, proxies: ProxyView, version: number): Promise<ExitCode> => {
	const state = await awaitInForce(context.timers, proxies, version, readTimeoutMs(context.options));
	const {inForce, total, behind, problem} = state;
	if (inForce) {
		context.print({json: {event: 'in-force', version, total}, text: `in force on all ${total} proxies`});
		return 0;
	}

	context.print({
		json: {
			event: 'not-in-force', version, total, behind, problem,
		},
		text: problem
			? `Accepted, but it is not known whether version ${version} is in force: ${problem}`
			: `Accepted, but version ${version} is not in force yet on ${behind.length} of ${total} proxies: ${formatProxyNames(behind)}. It stays accepted; look again with "dogwoodctl document status".`,
	});
	return 1;
};

/** Submits a change, prints the outcome and, with `--proxy`, waits until all proxies have it in force. */
export const submitAndReport = async (context: CommandContext, changeId: string, change: () => DocumentResult<AcceptedChange>): Promise<ExitCode> => {
	// Resolved first, so that an invalid proxy address is reported before the change is submitted.
	const proxies = context.options.text('proxy') === undefined ? undefined : context.proxies();
	const accepted = await change();
	if (accepted.isErr()) {
		return printError(context, accepted.error);
	}

	const {acceptedVersion, alreadyAccepted} = accepted.value;
	context.print({
		json: {
			event: 'accepted', version: acceptedVersion, changeId, alreadyAccepted,
		},
		text: `accepted${alreadyAccepted ? ' before' : ''} as version ${acceptedVersion} (${changeId})`,
	});
	return proxies ? awaitAndReportInForce(context, proxies, acceptedVersion) : 0;
};
