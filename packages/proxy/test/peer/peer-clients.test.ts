import {once} from 'node:events';
import {createServer} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {ExecuteRequestSchema, ExecuteResponseSchema} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {ConnectServer} from '../../src/daemon/connect-server.js';
import {PeerClients, PeerServiceHandler, type PeerServiceOptions} from '../../src/peer/index.js';

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

// Guards against a peer that counts as silent, and its requests as lost, while one of them takes long.
test('long work at a peer that answers heartbeats is waited for', async t => {
	const timers = new SystemTimerService();
	const server = new ConnectServer();
	const response = create(ExecuteResponseSchema, {outcome: {case: 'done', value: {servedBy: 'm0'}}});
	const owner = {
		isActing: true,
		async execute() {
			// Longer than the time after which a silent peer is given up.
			await timers.sleep(3000);
			return response;
		},
	};
	const handler = new PeerServiceHandler({
		owners: {get: () => owner},
		timers,
		track: async <T>(work: Promise<T>) => work,
	} as unknown as PeerServiceOptions);
	server.serve(router => {
		handler.register(router);
	});
	const address = await server.listen('127.0.0.1', 0);
	const clients = new PeerClients({timers, connectTimeoutMs: 500, queryTimeoutMs: 200});
	const request = create(ExecuteRequestSchema, {database: 'ledger', timeoutMs: 10_000});
	t.match(await clients.forward(address, request), {kind: 'answered', response});
	clients.close();
	server.destroy();
	timers.close();
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
