import {GossipMembership, ManualTimerService} from '@dogwoodthread/coordination';
import {type Measurement} from './definitions.js';
import {type Listener, LoneMember} from './lone-member.js';
import {seededRandom} from './random.js';
import {shareRuns} from './shared-run.js';

const boundMs = 60_000;
const address = '10.200.0.1:7000';

type Outcome = {timeMs: number; receivedBytes: number};

/** A process that starts and learns a table of `size` members; one member answers for all. */
const measureJoin = async (size: number, seed: number): Promise<Outcome> => {
	const timers = new ManualTimerService();
	const random = seededRandom(seed);
	const known = new LoneMember(size, timers, random);
	known.fillTable();
	let listener: Listener | undefined;
	known.receivers.set(address, (from, payload) => listener?.(from, payload));
	const joining = new GossipMembership({
		self: {
			hostId: 'joining', startedUnixMs: 1, gossipAddress: address, peerAddress: '10.200.0.1:7001', failureDomain: 'failure-domain-0', region: 'region-0',
		},
		transport: {
			address,
			send(_, payload) {
				known.deliver(address, payload);
			},
			onReceive(receive) {
				listener = receive;
			},
			async close() {
				// Nothing is open.
			},
		},
		timers,
		random,
	});
	joining.join([known.transport.address]);
	while (joining.members().length <= size && timers.nowMs() < boundMs) {
		timers.advance(10);
	}

	const receivedBytes = Object.values(joining.counters.received).reduce((sum, {bytes}) => sum + bytes, 0);
	return {timeMs: timers.nowMs(), receivedBytes};
};

/** Cost of a start against the size of the fleet. */
export const createJoinMeasurements = (seed: number): Measurement[] => {
	const outcome = shareRuns(async size => measureJoin(size, seed));
	const common = {sizeUnit: 'member', sizes: [100, 1000, 4900], scale: 'linear'} as const;
	return [
		{
			...common, name: 'join-time', unit: 'ms', measure: outcome(({timeMs}) => timeMs),
		},
		{
			...common, name: 'join-received', unit: 'B', measure: outcome(({receivedBytes}) => receivedBytes),
		},
	];
};
