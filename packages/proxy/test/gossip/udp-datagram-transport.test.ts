import {setTimeout} from 'node:timers/promises';
import {test} from 'tap';
import {UdpDatagramTransport} from '../../src/index.js';
import {checkDatagramTransport} from '../../../coordination/test/membership/datagram-transport-contract.js';

// Guards against differences between the UDP transport and the in-memory network.
test('the UDP transport meets the contract of DatagramTransport', async t => {
	await checkDatagramTransport(t, async () => UdpDatagramTransport.create({address: '127.0.0.1:0'}), async until => {
		while (!until()) {
			await setTimeout(5);
		}
	});
});

// Guards against a proxy that starts without gossip because its gossip address is in use or malformed.
test('a malformed or used address is refused', async t => {
	const first = await UdpDatagramTransport.create({address: '127.0.0.1:0'});
	await t.rejects(UdpDatagramTransport.create({address: first.address}), {code: 'EADDRINUSE'});
	await t.rejects(UdpDatagramTransport.create({address: 'localhost'}), /expected ip:port/);
	await first.close();
});
