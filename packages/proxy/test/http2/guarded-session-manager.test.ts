import {once} from 'node:events';
import {createServer, type ClientHttp2Stream, type ServerHttp2Session} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {test} from 'tap';
import {GuardedSessionManager} from '../../src/http2/index.js';

const finish = async (stream: ClientHttp2Stream): Promise<void> => {
	stream.resume();
	stream.end();
	await once(stream, 'close');
};

// A proxy must not crash when a peer shuts down gracefully while a request to it starts.
test('a request immediately after GOAWAY uses a new connection', async t => {
	const sessions: ServerHttp2Session[] = [];
	const server = createServer((_request, response) => {
		response.end();
	});
	server.on('session', session => {
		sessions.push(session);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const manager = new GuardedSessionManager(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	t.teardown(() => {
		manager.abort();
		server.close();
	});
	const first = await manager.request('GET', '/', {}, {});
	const session = first.session!;
	await finish(first);
	// Runs after the manager's listener, when the session is destroyed but its socket is still open. `once` of
	// node:events would add an error listener, which would hide the failure.
	const second = new Promise<Array<Promise<ClientHttp2Stream>>>(resolve => {
		session.once('goaway', () => {
			resolve([manager.request('GET', '/', {}, {})]);
		});
	});
	const closed = new Promise<void>(resolve => {
		session.once('close', () => {
			resolve();
		});
	});
	sessions[0]!.close();
	const [request] = await second;
	await finish(await request!);
	await closed;
	t.equal(sessions.length, 2);
	t.ok(session.destroyed);
});
