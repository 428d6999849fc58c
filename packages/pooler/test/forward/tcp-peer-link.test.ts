import {createServer, type Socket} from 'node:net';
import {test} from 'tap';
import {TcpPeerConnector} from '../../src/index.js';

// Guards against data that a partition delays and that arrives after the sender has closed the link. Only a reset
// discards it.
test('resetting a link sends a TCP reset', async t => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => server.close());
	const accepted = new Promise<Socket>(resolve => {
		server.once('connection', resolve);
	});
	const link = new TcpPeerConnector().connect(`127.0.0.1:${(server.address() as {port: number}).port}`);
	const socket = await accepted;
	const ended = new Promise<string>(resolve => {
		socket.on('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? '');
		});
		socket.on('end', () => {
			resolve('end');
		});
		socket.resume();
	});
	link.onMessage(() => undefined);
	await new Promise<void>(resolve => {
		socket.write('{"kind":"clock","clock":{"timeMs":0,"epoch":0}}\n', () => {
			resolve();
		});
	});
	link.reset();
	t.equal(await ended, 'ECONNRESET');
});
