import {test} from 'tap';
import {ManualTimerService, MemoryDatagramNetwork} from '../../src/index.js';
import {checkDatagramTransport} from './datagram-transport-contract.js';

const createNetwork = () => {
	const timers = new ManualTimerService();
	return {timers, network: new MemoryDatagramNetwork({timers, random: () => 0.5})};
};

// Guards against tests that pass only because the in-memory network behaves differently from a socket.
test('the in-memory network meets the transport contract', async t => {
	const {timers, network} = createNetwork();
	await checkDatagramTransport(t, async () => network.create(), async () => {
		timers.advance(10);
	});
});

// Guards against fault tests that pass because their faults are not injected.
test('partitions, pauses and drops keep datagrams from arriving', t => {
	const {timers, network} = createNetwork();
	const [a, b] = [network.create(), network.create()];
	const received: number[] = [];
	b.onReceive((_, payload) => received.push(payload[0]!));
	const send = (value: number) => {
		a.send(b.address, new Uint8Array([value]));
		timers.advance(5);
	};

	network.partition([[a.address], [b.address]]);
	send(1);
	network.heal();
	network.dropProbability = 1;
	send(2);
	network.dropProbability = 0;
	network.pause(b.address);
	send(3);
	t.strictSame(received, []);
	network.resume(b.address);
	send(4);
	t.strictSame(received, [3, 4]);
	t.end();
});
