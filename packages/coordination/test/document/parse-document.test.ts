import {test} from 'tap';
import {
	defaultDocument, computeDifference, parseDocument, stringifySections,
} from '../../src/index.js';
import {applyDifference, reverseDifference} from '../../src/document/domain/line-difference.js';
import {maxSectionsBytes} from '../../src/document/domain/limits.js';
import {jsonSizeBytes} from '../../src/document/domain/stored-document.js';
import {texts} from './fixtures.js';

// Guards against mistakes that are not found, or that are reported without path, value, expected form and remedy.
const invalidInputs: Record<string, unknown> = {
	'unknown and missing fields': {...texts, operations: 'requestTimoutMs: 5\nteams: {databases: [], x: 1}\n'},
	'wrong values': {...texts, monitor: 'objectives: [{name: A, kind: speed, targetRatio: 2}]\nwords: {payment: 5}\n'},
	'duplicate key within an entry': {...texts, databases: '\n# first\na: {slots: 5, slots: 6, connections: 35}\n'},
	'duplicate entry': {...texts, databases: 'a: {slots: 5, connections: 35}\na: {slots: 6, connections: 35}\n'},
	'duplicate quoted entry': {...texts, databases: '"a": {slots: 5, connections: 35}\n"a": {slots: 6, connections: 35}\n'},
	'text that is not YAML': {...texts, applications: 'statements: {\n'},
	'reference without an anchor': {...texts, databases: 'a: *b\n'},
	'wrong name': {...texts, databases: 'Ledger: {slots: 5, connections: 35}\n'},
	'no databases': {...texts, databases: ''},
	'contradicting limits': {
		...texts,
		databases: 'a: {slots: 50, connections: 30, longSlots: 50, rttMs: 900}\n',
		operations: texts.operations.replace('requestTimeoutMs: 5000', 'requestTimeoutMs: 1000').replace('drainMs: 30000', 'drainMs: 500'),
		monitor: 'objectives:\n  - {name: a, kind: latency, targetRatio: 0.9, windowDays: 3, database: b}\n'
			+ '  - {name: a, kind: availability, targetRatio: 0.9, windowDays: 3, thresholdMs: 2000}\n',
	},
	'unknown section': {...texts, others: ''},
	'missing section': {databases: texts.databases},
	'later schema version': {schemaVersion: 2, sections: texts},
	'a sequence': [1],
	'whole text': 'databases: {}\ndatabases: {}\n',
};

for (const [name, input] of Object.entries(invalidInputs)) {
	test(`mistakes are listed: ${name}`, async t => {
		t.matchSnapshot(parseDocument(input)._unsafeUnwrapErr().mistakes);
	});
}

test('the default document is valid in every form, with its defaults filled in', async t => {
	const fromTexts = parseDocument(texts)._unsafeUnwrap();
	t.matchSnapshot(fromTexts);
	const value = defaultDocument(['ledger', 'tins']);
	t.same(parseDocument(value)._unsafeUnwrap(), fromTexts);
	t.same(parseDocument(JSON.stringify({sections: value}))._unsafeUnwrap(), fromTexts);
	t.ok(parseDocument(defaultDocument({tins: {slots: 2, connections: 30}})).isOk());
});

// Guards against a document of the design size (12,000 databases) that exceeds the size limit of one object.
test('12,000 databases fit', async t => {
	const names = Array.from({length: 12_000}, (_, index) => `ledger-${String(index).padStart(5, '0')}`);
	const databases = names.map(name => `${name}: {slots: 5, connections: 35}`).join('\n');
	const sections = {...stringifySections(defaultDocument(['a'])), databases};
	t.ok(jsonSizeBytes(sections) < maxSectionsBytes);
	t.equal(Object.keys(parseDocument({sections})._unsafeUnwrap().databases).length, 12_000);
});

// Guards against a history whose earlier versions cannot be reconstructed.
test('differences apply in both directions', async t => {
	const pairs = [['', 'a'], ['a\nb\nc', 'a\nc'], ['a\nb\nc\nd\n', 'x\na\nb\nd\ny\n'], ['a', 'a'], ['a\nb\na\nb', 'b\na\nb\na\nc']] as const;
	for (const [before, after] of pairs) {
		const difference = computeDifference(before, after);
		t.equal(applyDifference(before, difference), after);
		t.equal(applyDifference(after, reverseDifference(difference)), before);
	}

	t.equal(applyDifference('other', computeDifference('a', 'b')), undefined);
});
