import {DocumentStore} from '@dogwoodthread/coordination';
import {type Command, printError} from '../../../cli/index.js';
import {formatProxyNames, readInForce} from '../../../proxies/index.js';

/** Compares the version on the platform with the versions in force on the proxies. */
export const documentStatus: Command = {
	usage: 'document status',
	description: 'Show the current version and whether all proxies have it in force; exit code 1 if they do not',
	options: [],
	async run(context) {
		const proxies = context.options.text('proxy') === undefined ? undefined : context.proxies();
		const read = await new DocumentStore(context.platform()).read();
		const platformExitCode = read.match(({version}) => {
			context.print({json: {event: 'platform', version}, text: `The platform has version ${version}.`});
			return 0 as const;
		}, error => printError(context, error));
		if (!proxies) {
			return platformExitCode;
		}

		// If the platform cannot be read, compare with the newest version on any proxy.
		const members = await proxies.fetchMembers();
		const newestVersion = members.isOk() ? Math.max(0, ...members.value.map(({documentVersion}) => documentVersion)) : 0;
		const version = read.isOk() ? read.value.version : newestVersion;
		const {inForce, total, behind, problem} = await readInForce(proxies, version);
		const text = inForce ? `Version ${version} is in force on all ${total} proxies.` : `Version ${version} is not in force on: ${formatProxyNames(behind)}`;
		context.print({
			json: {
				event: 'proxies', version, inForce, total, behind, problem,
			},
			text: problem ?? text,
		});
		return inForce ? platformExitCode : 1;
	},
};
