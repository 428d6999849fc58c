import {type Test} from 'tap';
import {type DatagramTransport} from '../../src/index.js';

type Received = {from: string; text: string};

/** What every transport must do. `settle` waits, or moves time, until what was sent has arrived. */
export const checkDatagramTransport = async (t: Test, create: () => Promise<DatagramTransport>, settle: (until: () => boolean) => Promise<void>): Promise<void> => {
	const [a, b] = [await create(), await create()];
	const received: Received[] = [];
	b.onReceive((from, payload) => {
		received.push({from, text: new TextDecoder().decode(payload)});
	});
	t.not(a.address, b.address);
	a.send(b.address, new TextEncoder().encode('x'.repeat(1200)));
	await settle(() => received.length > 0);
	t.strictSame(received, [{from: a.address, text: 'x'.repeat(1200)}], 'a datagram arrives whole, with its sender');
	t.doesNotThrow(() => {
		a.send('10.255.255.1', new Uint8Array(1));
	}, 'an unusable address is no error');
	await b.close();
	a.send(b.address, new Uint8Array(1));
	await b.close();
	t.doesNotThrow(() => {
		b.send(a.address, new Uint8Array(1));
	}, 'sending after close is ignored');
	await a.close();
	t.equal(received.length, 1);
};
