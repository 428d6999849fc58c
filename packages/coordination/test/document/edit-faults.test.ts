import {test} from 'tap';
import {
	DocumentStore, listChanges, MemoryPlatform, type SectionEdit,
} from '../../src/index.js';
import {
	create, edit, FaultyPlatform, outcomeOf, type PutFault, texts,
} from './fixtures.js';

type FaultCase = {
	fault: string;
	puts?: PutFault[];
	/** Applied to the platform before the edit. */
	before?: (platform: FaultyPlatform) => void;
	edits?: Array<Partial<SectionEdit>>;
	timeoutMs?: number;
	outcomes: string[];
	/** Change ids in the history after the creation, oldest first; in any order if they race. */
	accepted: string[];
};

const one = ['change-1'];

// Guards against an edit that is applied twice, is lost after it was accepted, or is reported wrongly.
const cases: FaultCase[] = [
	{fault: 'none', outcomes: ['accepted'], accepted: one},
	{
		fault: 'answer lost after the effect', puts: ['answer-lost'], outcomes: ['accepted'], accepted: one,
	},
	{
		fault: 'request lost before the effect', puts: ['request-lost', 'request-lost'], outcomes: ['accepted'], accepted: one,
	},
	{
		fault: 'effect after the read-back', puts: ['late-effect'], outcomes: ['accepted'], accepted: one,
	},
	{
		fault: 'two late effects of the same edit', puts: ['late-effect', 'late-effect'], outcomes: ['accepted'], accepted: one,
	},
	{
		fault: 'refused during an outage', puts: ['refused'], outcomes: ['accepted'], accepted: one,
	},
	{
		fault: 'platform down before the edit', before(platform) {
			platform.down = true;
		}, timeoutMs: 50, outcomes: ['platform-unavailable'], accepted: [],
	},
	{
		fault: 'platform down for some calls', before(platform) {
			platform.failNext = 3;
		}, outcomes: ['accepted'], accepted: one,
	},
	{
		fault: 'every answer lost until the time is up', puts: Array.from({length: 50}, () => 'request-lost'), timeoutMs: 60, outcomes: ['outcome-unknown'], accepted: [],
	},
	{
		fault: 'different sections race', edits: [{changeId: 'change-1'}, {changeId: 'change-2', section: 'monitor'}, {changeId: 'change-3', section: 'applications'}],
		outcomes: ['accepted', 'accepted', 'accepted'], accepted: ['change-1', 'change-2', 'change-3'],
	},
	{
		fault: 'same section race', edits: [{changeId: 'change-1'}, {changeId: 'change-2'}], outcomes: ['accepted', 'section-changed'], accepted: one,
	},
	{
		fault: 'same section race, answer of the first lost', puts: ['answer-lost'], edits: [{changeId: 'change-1'}, {changeId: 'change-2'}], outcomes: ['accepted', 'section-changed'], accepted: one,
	},
	{
		fault: 'the same change id at the same time', edits: [{}, {}], outcomes: ['accepted', 'accepted'], accepted: one,
	},
	{
		fault: 'author without the right', edits: [{author: 'nobody'}], outcomes: ['not-allowed'], accepted: [],
	},
	{
		fault: 'team of another section', edits: [{team: 'on-call'}], outcomes: ['not-allowed'], accepted: [],
	},
	{
		fault: 'base version of the future', edits: [{baseVersion: 9}], outcomes: ['invalid-change'], accepted: [],
	},
	{
		fault: 'no reason', edits: [{reason: ' '}], outcomes: ['invalid-change'], accepted: [],
	},
	{
		fault: 'unknown key', edits: [{text: `${texts.databases}\nextra: {slot: 5}\n`}], outcomes: ['invalid-document'], accepted: [],
	},
	{
		fault: 'conflict with another section', edits: [
			{section: 'operations', text: texts.operations.replace('detectionMs: 1000', 'detectionMs: 100')},
			{changeId: 'change-2', text: texts.databases.replace('slots: 5', 'rttMs: 200\n  slots: 5')},
		],
		outcomes: ['accepted', 'invalid-document'], accepted: one,
	},
	{
		fault: 'oversized section', edits: [{text: `${texts.databases}# ${'x'.repeat(700_000)}`}], outcomes: ['too-large'], accepted: [],
	},
	{
		fault: 'oversized change', edits: [{text: `${texts.databases}# ${'x'.repeat(300_000)}`}], outcomes: ['too-large'], accepted: [],
	},
];

for (const {
	fault, puts, before, edits = [{}], timeoutMs, outcomes, accepted,
} of cases) {
	test(`edit under the fault: ${fault}`, async t => {
		const memory = new MemoryPlatform();
		await create(memory);
		const platform = new FaultyPlatform(memory, [...puts ?? []]);
		before?.(platform);
		t.same(await Promise.all(edits.map(async overrides => outcomeOf(edit(platform, overrides, timeoutMs)))), outcomes);
		const changes = await listChanges(new DocumentStore(memory), 100);
		const ids = changes._unsafeUnwrap().map(({changeId}) => changeId);
		t.same(ids.sort(), [...accepted, 'creation']);
	});
}

// Guards against a repeat after an outage that writes the text over later changes of the section.
test('a repeat with the same change id is answered from the history, however late', async t => {
	const platform = new MemoryPlatform();
	await create(platform);
	const first = await edit(platform, {baseVersion: 1});
	t.equal(first._unsafeUnwrap().acceptedVersion, 2);
	for (let index = 0; index < 70; index += 1) {
		await edit(platform, {changeId: `later-${index}`, text: `# ${index}\n${texts.databases}`});
	}

	for (const overrides of [{baseVersion: 1}, {}, {baseVersion: 72, isRepeat: true}]) {
		const repeat = await edit(platform, overrides);
		t.match(repeat._unsafeUnwrap(), {acceptedVersion: 2, alreadyAccepted: true, version: 72});
	}
});

// Guards against a definite answer when nothing shows whether the change was accepted.
test('without evidence the outcome is unknown', async t => {
	const memory = new MemoryPlatform();
	await create(memory);
	const damaging = new FaultyPlatform(memory, ['answer-lost']);
	damaging.afterPut = async () => {
		await memory.put('document', 'governing', {}, 2);
	};

	t.equal(await outcomeOf(edit(damaging, {})), 'outcome-unknown');
	const other = new MemoryPlatform();
	await create(other);
	for (let index = 0; index < 70; index += 1) {
		await edit(other, {changeId: `later-${index}`, baseVersion: index + 1});
	}

	await other.remove('document-history', '3', 1);
	t.equal(await outcomeOf(edit(other, {isRepeat: true, baseVersion: 71})), 'outcome-unknown');
	t.equal(await outcomeOf(edit(other, {baseVersion: 71})), 'accepted');
});

test('a refused edit shows who changed the section, and the difference', async t => {
	const platform = new MemoryPlatform();
	await create(platform);
	await edit(platform, {changeId: 'other-1', author: 'database-owners', reason: 'new ledger'});
	const refused = await edit(platform, {baseVersion: 1, text: texts.databases.replace('35', '40')});
	const {message, changesSince, difference} = refused._unsafeUnwrapErr();
	t.matchSnapshot({message, difference});
	t.match(changesSince, [{changeId: 'other-1', version: 2}]);
});
