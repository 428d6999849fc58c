import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {SessionTokenCodec} from '@dogwoodthread/coordination';
import {Access, BeginSchema, ExecuteRequestSchema} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {validateBegin, validateRequest} from '../../src/caller/core/validate-request.js';
import {database, tokens, toOutcome} from '../fixtures/requests.js';

type Fields = MessageInitShape<typeof ExecuteRequestSchema>;

const tooLongName = 'x'.repeat(201);
const token = tokens.encode({database, term: 1, index: 1});
const requestKey = {key: 'k', issuedUnixMs: 1n};
const wellFormed: Fields = {
	database, statement: {name: 'pay_deposit', parametersJson: '[]'}, access: Access.WRITE, timeoutMs: 1000, callerId: 'caller',
};

/** Fields that make a well-formed request malformed, and the expected code of the refusal. */
const malformed: Record<string, [fields: Fields, code?: string]> = {
	'no database': [{database: ''}],
	'long database': [{database: tooLongName}],
	'zero timeout': [{timeoutMs: 0}],
	'negative timeout': [{timeoutMs: -1}],
	'timeout over the maximum': [{timeoutMs: 600_001}],
	'long caller id': [{callerId: tooLongName}],
	'no statement': [{statement: undefined}],
	'statement without name': [{statement: {name: ''}}],
	'long statement name': [{statement: {name: tooLongName}}],
	'large parameters': [{statement: {name: 'a', parametersJson: 'ä'.repeat(524_289)}}],
	'no access': [{access: Access.UNSPECIFIED}],
	'empty request key': [{requestKey: {...requestKey, key: ''}}],
	'long request key': [{requestKey: {...requestKey, key: tooLongName}}],
	'request key on a read': [{access: Access.READ, requestKey}],
	'negative maximum age': [{access: Access.READ, maxAgeMs: -1}],
	'damaged token': [{sessionToken: 'token'}, 'malformed-session-token'],
	'token with a changed position': [{sessionToken: token.replace('.1.1.', '.1.2.')}, 'forged-session-token'],
	'token signed with another key': [{sessionToken: new SessionTokenCodec(['another-key-of-tokens']).encode({database, term: 1, index: 1})}, 'forged-session-token'],
	'token of another database': [{sessionToken: tokens.encode({database: 'other', term: 1, index: 1})}, 'foreign-session-token'],
};

for (const [name, [fields, code = 'invalid-request']] of Object.entries(malformed)) {
	test(`refused: ${name}`, async t => {
		const refusal = validateRequest(create(ExecuteRequestSchema, {...wellFormed, ...fields} as Fields), tokens)!;
		t.match(toOutcome(refusal), {kind: 'notRun', code, retryAfterMs: 0});
		t.matchSnapshot(refusal.outcome.case === 'notRun' && refusal.outcome.value.message);
	});
}

test('well-formed requests are accepted', async t => {
	const accepted: Fields[] = [{}, {requestKey}, {sessionToken: token}, {access: Access.READ, maxAgeMs: 0}, {timeoutMs: 600_000}, {callerId: ''}];
	for (const fields of accepted) {
		t.equal(validateRequest(create(ExecuteRequestSchema, {...wellFormed, ...fields} as Fields), tokens), undefined);
	}

	t.equal(validateBegin(create(BeginSchema, {database, timeoutMs: 1000})), undefined);
	t.match(toOutcome(validateBegin(create(BeginSchema, {database, timeoutMs: 0}))!), {kind: 'notRun', code: 'invalid-request'});
});
