import {type TimerService} from '@dogwoodthread/coordination';
import {type Command, UsageError} from '../../../cli/index.js';
import {type StatusAnswer, type StatusReader} from '../definitions.js';
import {buildFleetStatus, formatFleetStatus} from '../domain/fleet-status.js';

const readStatus = async (reader: StatusReader, address: string): Promise<StatusAnswer> => {
	const read = await reader.read(address);
	return read.match<StatusAnswer>(status => ({address, status}), ({message}) => ({address, problem: message}));
};

/** Creates `dogwoodctl status`: the state of proxies and databases from the status pages of the proxies. */
export const createStatusCommand = (createReader: (timers: TimerService) => StatusReader): Command => ({
	usage: 'status',
	description: 'Show the state of proxies and databases; exit code 1 if something needs attention',
	options: [['--admin <addresses>', 'Admin addresses of the proxies, ip:port, separated by commas']],
	async run({options, timers, print}) {
		const addresses = options.texts('admin').flatMap(list => list.split(',')).filter(Boolean);
		if (addresses.length === 0) {
			throw new UsageError('Give --admin, the admin addresses of the proxies.');
		}

		const invalidAddress = addresses.find(address => !/^[\w.[\]:-]+:\d{1,5}$/.test(address));
		if (invalidAddress !== undefined) {
			throw new UsageError(`--admin has ${invalidAddress}; give addresses such as 127.0.0.1:7200.`);
		}

		const reader = createReader(timers);
		const fleet = buildFleetStatus(await Promise.all(addresses.map(async address => readStatus(reader, address))));
		const needsAttention = [...fleet.proxies, ...fleet.databases].some(({attention}) => attention.length > 0);
		print({json: {event: 'status', needsAttention, ...fleet}, text: formatFleetStatus(fleet)});
		return needsAttention ? 1 : 0;
	},
});
