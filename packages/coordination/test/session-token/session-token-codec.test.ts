import fc from 'fast-check';
import {test} from 'tap';
import {SessionTokenCodec} from '../../src/index.js';

const codec = new SessionTokenCodec(['new key', 'old key']);
const token = {database: 'ledger', term: 7, index: 123_456};
const outcomeOf = (text: string, database = 'ledger') => codec.decode(text, database).match(value => value, ({kind}) => kind);
const characters = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.';

// Guards against a token that moves a session to a position that it never saw (property P1).
test('P1: forged and foreign tokens, rotated keys and the maximum position', t => {
	const maximumToken = {database: 'ledger', term: Number.MAX_SAFE_INTEGER, index: Number.MAX_SAFE_INTEGER};
	const cases: Array<[name: string, text: string, outcome: unknown]> = [
		['valid', codec.encode(token), token],
		['signed with the previous key', new SessionTokenCodec(['old key']).encode(token), token],
		['signed with an unknown key', new SessionTokenCodec(['stolen']).encode(token), 'forged-session-token'],
		['signed with a removed key', new SessionTokenCodec(['oldest key']).encode(token), 'forged-session-token'],
		['for another database', codec.encode({...token, database: 'tins'}), 'foreign-session-token'],
		['maximum position, signed', codec.encode(maximumToken), maximumToken],
		['maximum position, signed with an unknown key', new SessionTokenCodec(['stolen']).encode(maximumToken), 'forged-session-token'],
		['signature of another position', codec.encode(token).replace(/\.7\./, '.8.'), 'forged-session-token'],
		['empty', '', 'malformed-session-token'],
		['truncated', codec.encode(token).slice(0, -1), 'malformed-session-token'],
		['trailing newline', `${codec.encode(token)}\n`, 'malformed-session-token'],
	];
	for (const [name, text, outcome] of cases) {
		t.same(outcomeOf(text), outcome, name);
	}

	t.throws(() => new SessionTokenCodec([]), 'a codec without keys is rejected');
	t.end();
});

test('P1: a token with any one character changed is refused', t => {
	const text = codec.encode(token);
	const accepted = [...text].flatMap((_, position) => [...characters]
		.map(character => text.slice(0, position) + character + text.slice(position + 1))
		.filter(changed => changed !== text && typeof outcomeOf(changed) === 'object'));
	t.same(accepted, []);
	t.end();
});

test('P1: decoding never throws and returns only what was encoded', t => {
	const seed = Number(process.env.DOGWOOD_SEED ?? 20_261_204);
	t.comment(`DOGWOOD_SEED=${seed}`);
	const part = fc.string({unit: fc.constantFrom(...characters), maxLength: 24});
	const tokenLikeText = fc.tuple(part, part, part, part).map(parts => `1.${parts.join('.')}`);
	fc.assert(fc.property(fc.oneof(fc.string({unit: 'binary'}), tokenLikeText), text => typeof outcomeOf(text) === 'string'), {seed, numRuns: 5000});
	fc.assert(fc.property(fc.string({minLength: 1}), fc.maxSafeNat(), fc.maxSafeNat(), (database, term, index) =>
		JSON.stringify(outcomeOf(codec.encode({database, term, index}), database)) === JSON.stringify({database, term, index})), {seed});
	t.pass('the properties hold');
	t.end();
});
