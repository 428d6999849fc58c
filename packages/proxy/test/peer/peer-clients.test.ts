import {once} from 'node:events';
import {createServer} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {ExecuteRequestSchema, ExecuteResponseSchema} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {ConnectServer} from '../../src/daemon/connect-server.js';
import {PeerClients, PeerServiceHandler, type PeerServiceOptions} from '../../src/peer/index.js';

/** Far longer than the time within which an unresponsive peer must be detected. */
const requestTimeoutMs = 60_000;

// Requests to a paused peer must not wait until their deadline, and closing the connection to it must not
// raise an unhandled error event, which would end the process.
test('the connection to a peer that accepts requests and does not respond is closed', async t => {
	const server = createServer();
	server.on('stream', stream => {
		// The server-side stream ends with an error when the client closes the connection.
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
	t.ok(timers.nowMs() - startMs < requestTimeoutMs / 2, 'detected long before the deadline');
	t.equal(await clients.getOwnership(address, 'ledger'), undefined);
	clients.close();
	timers.close();
	server.close();
});

// A peer that is busy with a long request must not be treated as unresponsive, which would lose its requests.
test('a long request at a peer that answers heartbeats is not lost', async t => {
	const timers = new SystemTimerService();
	const server = new ConnectServer();
	const response = create(ExecuteResponseSchema, {outcome: {case: 'done', value: {servedBy: 'm0'}}});
	const owner = {
		isActing: true,
		async execute() {
			// Longer than the silence timeout of the connection.
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

// A request that no peer received must not count as sent, which would make its outcome unknown.
test('a request to an unreachable peer is reported as not sent', async t => {
	const timers = new SystemTimerService();
	const clients = new PeerClients({timers, connectTimeoutMs: 200, queryTimeoutMs: 200});
	const request = create(ExecuteRequestSchema, {database: 'ledger', timeoutMs: requestTimeoutMs});
	t.same(await clients.forward('127.0.0.1:1', request), {kind: 'not-sent'});
	clients.close();
	timers.close();
});
