import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {SystemTimerService} from '@dogwoodthread/coordination';
import {EndpointService, type SessionRequest, SessionResponseSchema} from '@dogwoodthread/protocol';
import {type Test, test} from 'tap';
import {ConnectServer} from '../../src/daemon/connect-server.js';
import {ConnectEndpointConnector, type EndpointReply} from '../../src/endpoint/index.js';
import {holdRequest} from '../fixtures/requests.js';

type Message = MessageInitShape<typeof SessionResponseSchema>;
type Script = (requestId: bigint) => AsyncIterable<Message> | Iterable<Message>;

const rowsMessage = (requestId: bigint, ...jsons: string[]): Message => ({requestId, response: {case: 'rows', value: {rows: jsons.map(json => ({json}))}}});
const completedMessage = (requestId: bigint, rowCount: number): Message => ({requestId, response: {case: 'completed', value: {rowCount, verifiedTerm: 1n}}});

async function * answerSession(requests: AsyncIterable<SessionRequest>, script: Script) {
	for await (const {request} of requests) {
		if (request.case === 'hello') {
			yield create(SessionResponseSchema, {response: {case: 'helloAccepted', value: {}}});
		} else {
			for await (const message of script(request.value!.requestId)) {
				if (message === endOfStream) {
					return;
				}

				yield create(SessionResponseSchema, message);
			}
		}
	}
}

/** Marks the end of the stream in a script. */
const endOfStream: Message = {};

/** Opens a connection to an endpoint that responds to each request according to the script. */
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

const statementCall = {term: 1, statement: holdRequest('a').statement!, access: 'write'} as const;
const never = new Promise<never>(() => {/* never settles */});

const refusedMessage = (requestId: bigint): Message => ({requestId, response: {case: 'refused', value: {code: 'stale-term'}}});
const lostReply = (reason: string) => ({kind: 'lost', reason});
const allRows = {kind: 'completed', completion: {rows: [{json: '1'}, {json: '2'}, {json: '3'}]}};

const neverAnswer: Script = async function * (id) {
	await never;
	yield completedMessage(id, 0);
};

const answerRowsOnly: Script = async function * (id) {
	yield rowsMessage(id, '1');
	await never;
};

// Incomplete responses and responses to another request must be detected (P4).
const cases: Array<[name: string, script: Script, expected: Record<string, unknown>, timeoutMs?: number]> = [
	['rows in two messages', id => [rowsMessage(id, '1'), rowsMessage(id, '2', '3'), completedMessage(id, 3)], allRows],
	['refusal', id => [refusedMessage(id)], {kind: 'refused', code: 'stale-term'}],
	['fewer rows than counted', id => [rowsMessage(id, '1'), completedMessage(id, 2)], lostReply('incomplete-answer')],
	['more rows than counted', id => [rowsMessage(id, '1', '2'), completedMessage(id, 1)], lostReply('incomplete-answer')],
	['stream ends in the middle of the rows', id => [rowsMessage(id, '1'), endOfStream], lostReply('connection-lost')],
	['stream ends without a response', () => [endOfStream], lostReply('connection-lost')],
	['rows of another request', id => [rowsMessage(id + 1n, '1'), rowsMessage(id, '2'), completedMessage(id, 1)], lostReply('foreign-answer')],
	['completion of another request', id => [completedMessage(id - 1n, 0), completedMessage(id, 0)], lostReply('foreign-answer')],
	['refusal of another request', id => [refusedMessage(id + 1n)], lostReply('foreign-answer')],
	['message without content', id => [{requestId: id}], lostReply('foreign-answer')],
	['no response in time', neverAnswer, lostReply('no-answer-in-time'), 100],
	['rows in time, completion late', answerRowsOnly, lostReply('no-answer-in-time'), 100],
];

for (const [name, script, expected, timeoutMs = 5000] of cases) {
	test(`response: ${name}`, async t => {
		const isUsable = expected.kind !== 'lost';
		const connection = await connect(t, script);
		t.match(await connection.execute(statementCall, timeoutMs), expected);
		t.equal(connection.isUsable, isUsable);
		if (!isUsable) {
			t.match(await connection.execute(statementCall, timeoutMs), {kind: 'refused', code: 'connection-closed'}, 'the connection is not used again');
		}
	});
}

// A response that arrives after its deadline must not be taken for the response to the next request (P4).
test('a late response is discarded', async t => {
	let sendResponse!: () => void;
	const responseAllowed = new Promise<void>(resolve => {
		sendResponse = resolve;
	});
	const connection = await connect(t, async function * (id) {
		await responseAllowed;
		yield * [rowsMessage(id, 'late'), completedMessage(id, 1)];
	});
	const first = connection.execute(statementCall, 50);
	t.match(await first, lostReply('no-answer-in-time'));
	const second = connection.execute(statementCall, 5000);
	sendResponse();
	const reply: EndpointReply = await second;
	t.equal(reply.kind, 'refused');
});
