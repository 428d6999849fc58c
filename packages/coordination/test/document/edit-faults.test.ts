import {test} from 'tap';
import {
	DocumentStore, listChanges, MemoryPlatform, type SectionEdit,
} from '../../src/index.js';
import {
	createFirstDocument, submitEdit, FaultyPlatform, outcomeOf, type PutFault, texts,
} from './fixtures.js';

type FaultCase = {
	fault: string;
	puts?: PutFault[];
	/** Prepares the platform before the edit. */
	arrange?: (platform: FaultyPlatform) => void;
	edits?: Array<Partial<SectionEdit>>;
	timeoutMs?: number;
	outcomes: string[];
	/** Ids of the changes accepted after the creation, in any order. */
	acceptedChangeIds: string[];
};

const onlyFirstChange = ['change-1'];

// Guards against an edit that is applied twice, lost after its acceptance, or reported with a wrong outcome.
const cases: FaultCase[] = [
	{fault: 'none', outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange},
	{
		fault: 'answer lost after the effect', puts: ['answer-lost'], outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'request lost before the effect', puts: ['request-lost', 'request-lost'], outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'effect after the read-back', puts: ['late-effect'], outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'two late effects of the same edit', puts: ['late-effect', 'late-effect'], outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'refused during an outage', puts: ['refused'], outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'platform down before the edit', arrange(platform) {
			platform.isDown = true;
		}, timeoutMs: 50, outcomes: ['platform-unavailable'], acceptedChangeIds: [],
	},
	{
		fault: 'platform down for some calls', arrange(platform) {
			platform.failingCallCount = 3;
		}, outcomes: ['accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'every request lost until the timeout', puts: Array.from({length: 50}, () => 'request-lost'), timeoutMs: 60, outcomes: ['outcome-unknown'], acceptedChangeIds: [],
	},
	{
		fault: 'different sections race', edits: [{changeId: 'change-1'}, {changeId: 'change-2', section: 'monitor'}, {changeId: 'change-3', section: 'applications'}],
		outcomes: ['accepted', 'accepted', 'accepted'], acceptedChangeIds: ['change-1', 'change-2', 'change-3'],
	},
	{
		fault: 'same section race', edits: [{changeId: 'change-1'}, {changeId: 'change-2'}], outcomes: ['accepted', 'section-changed'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'same section race, answer of the first lost', puts: ['answer-lost'], edits: [{changeId: 'change-1'}, {changeId: 'change-2'}],
		outcomes: ['accepted', 'section-changed'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'the same change id at the same time', edits: [{}, {}], outcomes: ['accepted', 'accepted'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'author without permission', edits: [{author: 'nobody'}], outcomes: ['not-allowed'], acceptedChangeIds: [],
	},
	{
		fault: 'team of another section', edits: [{team: 'on-call'}], outcomes: ['not-allowed'], acceptedChangeIds: [],
	},
	{
		fault: 'base version later than the current one', edits: [{baseVersion: 9}], outcomes: ['invalid-change'], acceptedChangeIds: [],
	},
	{
		fault: 'no reason', edits: [{reason: ' '}], outcomes: ['invalid-change'], acceptedChangeIds: [],
	},
	{
		fault: 'unknown key', edits: [{text: `${texts.databases}\nextra: {slot: 5}\n`}], outcomes: ['invalid-document'], acceptedChangeIds: [],
	},
	{
		fault: 'conflict with another section', edits: [
			{section: 'operations', text: texts.operations.replace('detectionMs: 1000', 'detectionMs: 100')},
			{changeId: 'change-2', text: texts.databases.replace('slots: 5', 'rttMs: 200\n  slots: 5')},
		],
		outcomes: ['accepted', 'invalid-document'], acceptedChangeIds: onlyFirstChange,
	},
	{
		fault: 'oversized section', edits: [{text: `${texts.databases}# ${'x'.repeat(700_000)}`}], outcomes: ['too-large'], acceptedChangeIds: [],
	},
	{
		fault: 'oversized change', edits: [{text: `${texts.databases}# ${'x'.repeat(300_000)}`}], outcomes: ['too-large'], acceptedChangeIds: [],
	},
];

for (const {
	fault, puts, arrange, edits = [{}], timeoutMs, outcomes, acceptedChangeIds,
} of cases) {
	test(`edit under the fault: ${fault}`, async t => {
		const memory = new MemoryPlatform();
		await createFirstDocument(memory);
		const platform = new FaultyPlatform(memory, [...puts ?? []]);
		arrange?.(platform);
		t.same(await Promise.all(edits.map(async overrides => outcomeOf(submitEdit(platform, overrides, timeoutMs)))), outcomes);
		const changes = await listChanges(new DocumentStore(memory), 100);
		const ids = changes._unsafeUnwrap().map(({changeId}) => changeId);
		t.same(ids.sort(), [...acceptedChangeIds, 'creation']);
	});
}

// Guards against a retry after an outage that overwrites later changes of the section with its text.
test('a retry with the same change id is answered from the history, even after many later changes', async t => {
	const platform = new MemoryPlatform();
	await createFirstDocument(platform);
	const first = await submitEdit(platform, {baseVersion: 1});
	t.equal(first._unsafeUnwrap().acceptedVersion, 2);
	for (let index = 0; index < 70; index += 1) {
		await submitEdit(platform, {changeId: `later-${index}`, text: `# ${index}\n${texts.databases}`});
	}

	for (const overrides of [{baseVersion: 1}, {}, {baseVersion: 72, isRetry: true}]) {
		const retried = await submitEdit(platform, overrides);
		t.match(retried._unsafeUnwrap(), {acceptedVersion: 2, alreadyAccepted: true, version: 72});
	}
});

// Guards against a definite outcome if neither the document nor the history shows whether the change was accepted.
test('without evidence the outcome is unknown', async t => {
	const memory = new MemoryPlatform();
	await createFirstDocument(memory);
	const damagedAfterPut = new FaultyPlatform(memory, ['answer-lost']);
	damagedAfterPut.afterUnansweredPut = async () => {
		await memory.put('document', 'governing', {}, 2);
	};

	t.equal(await outcomeOf(submitEdit(damagedAfterPut, {})), 'outcome-unknown');
	const other = new MemoryPlatform();
	await createFirstDocument(other);
	for (let index = 0; index < 70; index += 1) {
		await submitEdit(other, {changeId: `later-${index}`, baseVersion: index + 1});
	}

	await other.remove('document-history', '3', 1);
	t.equal(await outcomeOf(submitEdit(other, {isRetry: true, baseVersion: 71})), 'outcome-unknown');
	t.equal(await outcomeOf(submitEdit(other, {baseVersion: 71})), 'accepted');
});

test('a refused edit shows who changed the section, and the difference', async t => {
	const platform = new MemoryPlatform();
	await createFirstDocument(platform);
	await submitEdit(platform, {changeId: 'other-1', author: 'database-owners', reason: 'new ledger'});
	const refused = await submitEdit(platform, {baseVersion: 1, text: texts.databases.replace('35', '40')});
	const {message, changesSince, difference} = refused._unsafeUnwrapErr();
	t.matchSnapshot({message, difference});
	t.match(changesSince, [{changeId: 'other-1', version: 2}]);
});
