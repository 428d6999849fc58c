import {once} from 'node:events';
import {createServer} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {ExecuteRequestSchema} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {PeerClients} from '../../src/peer/index.js';

/** Far over the time within which a silent peer must be noticed. */
const requestTimeoutMs = 60_000;

// Guards against a paused peer that holds requests until their deadline, and against the process ending
// with an unhandled error event when the connection to it is given up.
test('a peer that accepts requests and stays silent is given up', async t => {
	const server = createServer();
	server.on('stream', stream => {
		// The stream of the test's own server ends with an error when the client gives up.
		stream.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const timers = new SystemTimerService();
	const clients = new PeerClients({timers, connectTimeoutMs: 500, queryTimeoutMs: 200});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const request = create(ExecuteRequestSchema, {database: 'ledger', timeoutMs: requestTimeoutMs});
	const startMs = timers.nowMs();
	const results = await Promise.all([clients.forward(address, request), clients.forward(address, request)]);
	t.same(results, [{kind: 'lost'}, {kind: 'lost'}]);
	t.ok(timers.nowMs() - startMs < requestTimeoutMs / 2, 'noticed long before the deadline');
	t.equal(await clients.getOwnership(address, 'ledger'), undefined);
	clients.close();
	timers.close();
	server.close();
});

// Guards against a request that counts as sent, and so as unknown, although nobody took it.
test('a request to a peer that is not there was not sent', async t => {
	const timers = new SystemTimerService();
	const clients = new PeerClients({timers, connectTimeoutMs: 200, queryTimeoutMs: 200});
	const request = create(ExecuteRequestSchema, {database: 'ledger', timeoutMs: requestTimeoutMs});
	t.same(await clients.forward('127.0.0.1:1', request), {kind: 'not-sent'});
	clients.close();
	timers.close();
});
