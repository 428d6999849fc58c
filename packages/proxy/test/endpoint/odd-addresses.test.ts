import {SystemTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {ConnectEndpointConnector} from '../../src/endpoint/index.js';

const identity = {
	database: 'ledger', hostId: 'p1', rank: 1, generation: 1, index: 0, memberId: 'm1',
} as unknown as Parameters<ConnectEndpointConnector['connect']>[1];

// Guards against an address in a group record that ends the owner's task, or is a path or a user at another address.
test('an address that is not a host and a port is refused as unreachable', async t => {
	const timers = new SystemTimerService();
	t.teardown(() => {
		timers.close();
	});
	const connector = new ConnectEndpointConnector({timers, controlTimeoutMs: 300});
	for (const address of ['', 'a b:80', '127.0.0.1', '127.0.0.1:99999', '127.0.0.1:1/x?y#z', 'user@127.0.0.1:1', 'a\r\nb:80']) {
		const refusal = {kind: 'unreachable', message: /correct the address/};
		const member = {
			memberId: 'm1', address, replicationAddress: address, failureDomain: 'a',
		};
		t.match((await connector.connect(address, identity, 300))._unsafeUnwrapErr(), refusal, JSON.stringify(address));
		t.match((await connector.monitor(address, identity, 300, () => undefined))._unsafeUnwrapErr(), refusal);
		t.match((await connector.fence('ledger', member, 1))._unsafeUnwrapErr(), refusal);
	}
});
