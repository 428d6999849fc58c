import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {EndpointService, type SessionRequest, SessionResponseSchema} from '@dogwoodthread/protocol';
import {type Test, test} from 'tap';
import {ConnectServer} from '../../src/daemon/connect-server.js';
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
	const server = new ConnectServer();
	const address = await server.listen('127.0.0.1', 0);
	server.serve(router => {
		router.service(EndpointService, {session: requests => answerSession(requests, script)});
	});
	t.teardown(() => {
		timers.close();
		server.destroy();
	});
	const connector = new ConnectEndpointConnector({timers, controlTimeoutMs: 500});
	const opened = await connector.connect(address, {
		database: 'ledger', rank: 0, generation: 1, index: 0, hostId: 'p0',
	}, 5000);
	return opened._unsafeUnwrap();
};

const call = {term: 1, statement: hold('a').statement!, access: 'write'} as const;
const never = new Promise<never>(() => {/* never settles */});

const refusal = (requestId: bigint): Message => ({requestId, response: {case: 'refused', value: {code: 'stale-term'}}});
const lost = (reason: string) => ({kind: 'lost', reason});
const allRows = {kind: 'completed', completion: {rows: [{json: '1'}, {json: '2'}, {json: '3'}]}};

const silence: Script = async function * (id) {
	await never;
	yield complete(id, 0);
};

const halfAnswer: Script = async function * (id) {
	yield rows(id, '1');
	await never;
};

// Guards against a short answer and against an answer that belongs to another request (P4).
const cases: Array<[name: string, script: Script, expected: Record<string, unknown>, timeoutMs?: number]> = [
	['rows in two messages', id => [rows(id, '1'), rows(id, '2', '3'), complete(id, 3)], allRows],
	['refusal', id => [refusal(id)], {kind: 'refused', code: 'stale-term'}],
	['fewer rows than counted', id => [rows(id, '1'), complete(id, 2)], lost('incomplete-answer')],
	['more rows than counted', id => [rows(id, '1', '2'), complete(id, 1)], lost('incomplete-answer')],
	['stream ends in the middle of the rows', id => [rows(id, '1'), cut], lost('connection-lost')],
	['stream ends without an answer', () => [cut], lost('connection-lost')],
	['rows of another request', id => [rows(id + 1n, '1'), rows(id, '2'), complete(id, 1)], lost('foreign-answer')],
	['completion of another request', id => [complete(id - 1n, 0), complete(id, 0)], lost('foreign-answer')],
	['refusal of another request', id => [refusal(id + 1n)], lost('foreign-answer')],
	['message without content', id => [{requestId: id}], lost('foreign-answer')],
	['no answer in time', silence, lost('no-answer-in-time'), 100],
	['rows in time, completion late', halfAnswer, lost('no-answer-in-time'), 100],
];

for (const [name, script, expected, timeoutMs = 5000] of cases) {
	test(`answer: ${name}`, async t => {
		const usable = expected.kind !== 'lost';
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
