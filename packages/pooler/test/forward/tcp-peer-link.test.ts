import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {test} from 'tap';
import {
	createPreparedStatement, type ForwardRequest, sessionMemoryLimits, TcpPeerConnector,
} from '../../src/index.js';

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

const maxMessageBytes = 1_048_576;
const maxIdLength = 1024;
const maxLineBytes = 8_388_608;

// Guards against a client whose statement is too long for a message between hosts, so that the link breaks and the statements
// of all other clients on it are in doubt.
test('the longest statement that a client may send fits into a message between hosts', t => {
	// Escaped as JSON, a control character takes six bytes.
	const text = (length: number) => '\u0001'.repeat(length);
	const id = text(maxIdLength);
	const {sessionLimitBytes} = sessionMemoryLimits(1);
	const prepared = createPreparedStatement('write', text(sessionLimitBytes / 2));
	const request: ForwardRequest = {
		kind: 'transaction',
		call: Number.MAX_SAFE_INTEGER,
		sentAt: {timeMs: 1e9 / 3, epoch: 1e9},
		transaction: Number.MAX_SAFE_INTEGER,
		isFirst: true,
		begin: {id, readOnly: false},
		isWrite: true,
		command: {
			kind: 'execute', id, name: prepared.sharedName, argument: text(maxMessageBytes),
		},
		prepared,
		statement: {
			requestId: id, service: 's'.repeat(256), consistency: 'bounded-staleness', maxStalenessMs: 1e9 / 3, priority: 1e9, latencyObjectiveMs: 1e9 / 3, leftMs: 1e9 / 3,
			values: [['v', text(sessionLimitBytes / 2)]], committed: {term: 1e15, index: 1e15}, mayWait: false,
		},
	};
	t.ok(Buffer.byteLength(JSON.stringify(request)) < maxLineBytes);
	t.end();
});
