import {type Test} from 'tap';
import {type DatagramTransport} from '../../src/index.js';

type Received = {from: string; text: string};

/** Contract test of a datagram transport. `settle` waits, or advances simulated time, until the condition holds or sent datagrams have arrived. */
export const checkDatagramTransport = async (t: Test, create: () => Promise<DatagramTransport>, settle: (until: () => boolean) => Promise<void>): Promise<void> => {
	const [a, b] = [await create(), await create()];
	const received: Received[] = [];
	b.onReceive((from, payload) => {
		received.push({from, text: new TextDecoder().decode(payload)});
	});
	t.not(a.address, b.address);
	a.send(b.address, new TextEncoder().encode('x'.repeat(1200)));
	await settle(() => received.length > 0);
	t.strictSame(received, [{from: a.address, text: 'x'.repeat(1200)}], 'a datagram arrives complete, with the address of its sender');
	t.doesNotThrow(() => {
		a.send('10.255.255.1', new Uint8Array(1));
	}, 'sending to an invalid address does not throw');
	await b.close();
	a.send(b.address, new Uint8Array(1));
	await b.close();
	t.doesNotThrow(() => {
		b.send(a.address, new Uint8Array(1));
	}, 'sending after close is ignored');
	await a.close();
	t.equal(received.length, 1);
};
