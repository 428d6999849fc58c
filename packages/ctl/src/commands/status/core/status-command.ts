import {type TimerService} from '@dogwoodthread/coordination';
import {type Command, UsageError} from '../../../cli/index.js';
import {type AnsweredStatus, type StatusReader} from '../definitions.js';
import {fleetStatus, fleetText} from '../domain/fleet-status.js';

const readAnswer = async (reader: StatusReader, address: string): Promise<AnsweredStatus> => {
	const read = await reader.read(address);
	return read.match<AnsweredStatus>(status => ({address, status}), ({message}) => ({address, problem: message}));
};

/** The state of proxies and databases from the proxies' status pages. */
export const statusCommand = (createReader: (timers: TimerService) => StatusReader): Command => ({
	usage: 'status',
	description: 'Show the state of proxies and databases; exit code 1 if something needs attention',
	options: [['--admin <addresses>', 'Admin addresses of the proxies, ip:port, separated by commas']],
	async run({options, timers, print}) {
		const addresses = options.texts('admin').flatMap(list => list.split(',')).filter(Boolean);
		if (addresses.length === 0) {
			throw new UsageError('Give --admin, the admin addresses of the proxies.');
		}

		const wrong = addresses.find(address => !/^[\w.[\]:-]+:\d{1,5}$/.test(address));
		if (wrong !== undefined) {
			throw new UsageError(`--admin has ${wrong}; give addresses such as 127.0.0.1:7200.`);
		}

		const reader = createReader(timers);
		const fleet = fleetStatus(await Promise.all(addresses.map(async address => readAnswer(reader, address))));
		const needsAttention = [...fleet.proxies, ...fleet.databases].some(({attention}) => attention.length > 0);
		print({json: {event: 'status', needsAttention, ...fleet}, text: fleetText(fleet)});
		return needsAttention ? 1 : 0;
	},
});
