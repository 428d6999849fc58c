import {once} from 'node:events';
import {createServer, type ServerHttp2Session} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {EndpointService, type SessionRequest, SessionResponseSchema} from '@dogwoodthread/protocol';
import {type Test, test} from 'tap';
import {ConnectEndpointConnector, type EndpointReply} from '../../src/endpoint/index.js';
import {hold} from '../fixtures/requests.js';

type Message = MessageInitShape<typeof SessionResponseSchema>;
type Script = (requestId: bigint) => AsyncIterable<Message> | Iterable<Message>;

const rows = (requestId: bigint, ...jsons: string[]): Message => ({requestId, response: {case: 'rows', value: {rows: jsons.map(json => ({json}))}}});
const complete = (requestId: bigint, rowCount: number): Message => ({requestId, response: {case: 'completed', value: {rowCount, verifiedTerm: 1n}}});

async function * answerSession(requests: AsyncIterable<SessionRequest>, script: Script) {
	for await (const {request} of requests) {
		if (request.case === 'hello') {
			yield create(SessionResponseSchema, {response: {case: 'helloAccepted', value: {}}});
		} else {
			for await (const message of script(request.value!.requestId)) {
				if (message === cut) {
					return;
				}

				yield create(SessionResponseSchema, message);
			}
		}
	}
}

/** In a script, the end of the stream. */
const cut: Message = {};

/** A connection to an endpoint that answers each request as the script says. */
const connect = async (t: Test, script: Script) => {
	const timers = new SystemTimerService();
	const sessions = new Set<ServerHttp2Session>();
	const server = createServer(connectNodeAdapter({
		routes(router) {
			router.service(EndpointService, {session: requests => answerSession(requests, script)});
		},
	}));
	server.on('session', session => sessions.add(session));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		timers.close();
		server.close();
		for (const session of sessions) {
			session.destroy();
		}
	});
	const connector = new ConnectEndpointConnector({timers, controlTimeoutMs: 500});
	const opened = await connector.connect(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
		database: 'ledger', rank: 0, generation: 1, index: 0, hostId: 'p0',
	}, 5000);
	return opened._unsafeUnwrap();
};

const call = {term: 1, statement: hold('a').statement!, access: 'write'} as const;
const never = new Promise<never>(() => {/* never settles */});

type AnswerCase = {name: string; script: Script; expected: Record<string, unknown>; usable: boolean; timeoutMs?: number};

const lost = (reason: string) => ({kind: 'lost', reason});

// Guards against a short answer and against an answer that belongs to another request (P4).
const cases: AnswerCase[] = [
	{
		name: 'rows in two messages', script: id => [rows(id, '1'), rows(id, '2', '3'), complete(id, 3)],
		expected: {kind: 'completed', completion: {rows: [{json: '1'}, {json: '2'}, {json: '3'}]}}, usable: true,
	},
	{
		name: 'fewer rows than counted', script: id => [rows(id, '1'), complete(id, 2)], expected: lost('incomplete-answer'), usable: false,
	},
	{
		name: 'more rows than counted', script: id => [rows(id, '1', '2'), complete(id, 1)], expected: lost('incomplete-answer'), usable: false,
	},
	{
		name: 'stream ends in the middle of the rows', script: id => [rows(id, '1'), cut], expected: lost('connection-lost'), usable: false,
	},
	{
		name: 'stream ends without an answer', script: () => [cut], expected: lost('connection-lost'), usable: false,
	},
	{
		name: 'rows of another request', script: id => [rows(id + 1n, '1'), rows(id, '2'), complete(id, 1)], expected: lost('foreign-answer'), usable: false,
	},
	{
		name: 'completion of another request', script: id => [complete(id - 1n, 0), complete(id, 0)], expected: lost('foreign-answer'), usable: false,
	},
	{
		name: 'refusal of another request', script: id => [{requestId: id + 1n, response: {case: 'refused', value: {code: 'stale-term'}}}], expected: lost('foreign-answer'), usable: false,
	},
	{
		name: 'message without content', script: id => [{requestId: id}], expected: lost('foreign-answer'), usable: false,
	},
	{
		name: 'no answer in time', async * script(id) {
			await never;
			yield complete(id, 0);
		}, expected: lost('no-answer-in-time'), usable: false, timeoutMs: 100,
	},
	{
		name: 'rows in time, completion late', async * script(id) {
			yield rows(id, '1');
			await never;
		}, expected: lost('no-answer-in-time'), usable: false, timeoutMs: 100,
	},
	{
		name: 'refusal', script: id => [{requestId: id, response: {case: 'refused', value: {code: 'stale-term'}}}], expected: {kind: 'refused', code: 'stale-term'}, usable: true,
	},
];

for (const {name, script, expected, usable, timeoutMs = 5000} of cases) {
	test(`answer: ${name}`, async t => {
		const connection = await connect(t, script);
		t.match(await connection.execute(call, timeoutMs), expected);
		t.equal(connection.usable, usable);
		if (!usable) {
			t.match(await connection.execute(call, timeoutMs), {kind: 'refused', code: 'connection-closed'}, 'nobody uses it again');
		}
	});
}

// Guards against an answer that comes after its deadline and is taken for the one to the next request (P4).
test('a late answer reaches nobody', async t => {
	let release!: () => void;
	const held = new Promise<void>(resolve => {
		release = resolve;
	});
	const connection = await connect(t, async function * (id) {
		await held;
		yield * [rows(id, 'late'), complete(id, 1)];
	});
	const first = connection.execute(call, 50);
	t.match(await first, lost('no-answer-in-time'));
	const second = connection.execute(call, 5000);
	release();
	const reply: EndpointReply = await second;
	t.equal(reply.kind, 'refused');
});
