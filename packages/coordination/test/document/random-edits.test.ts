import fc from 'fast-check';
import {test} from 'tap';
import {
	DocumentStore, listChanges, MemoryPlatform, type SectionName, sectionNames,
} from '../../src/index.js';
import {
	createFirstDocument, submitEdit, FaultyPlatform, outcomeOf, type PutFault,
} from './fixtures.js';

const faults = fc.array(fc.constantFrom<PutFault>('none', 'none', 'answer-lost', 'request-lost', 'late-effect', 'refused'), {maxLength: 5});
const editor = fc.record({sections: fc.array(fc.constantFrom<SectionName>(...sectionNames), {maxLength: 3}), faults, failingCallCount: fc.nat(4)});

// Guards against interleavings of editors and faults that the table of edit-faults.test.ts does not list.
test('concurrent editors under random faults: each accepted change is in the history once, each refused one never', async t => {
	const seed = Number(process.env.DOGWOOD_SEED ?? 20_261_204);
	t.comment(`DOGWOOD_SEED=${seed}`);
	await fc.assert(fc.asyncProperty(fc.array(editor, {minLength: 2, maxLength: 4}), async editors => {
		const memory = new MemoryPlatform();
		await createFirstDocument(memory);
		const acceptedChangeIds = new Set(['creation']);
		await Promise.all(editors.map(async ({sections, faults, failingCallCount}, index) => {
			const platform = new FaultyPlatform(memory, [...faults]);
			platform.failingCallCount = failingCallCount;
			for (const [step, section] of sections.entries()) {
				const changeId = `change-${index}-${step}`;
				if (await outcomeOf(submitEdit(platform, {changeId, section})) === 'accepted') {
					acceptedChangeIds.add(changeId);
				}
			}
		}));
		const changes = await listChanges(new DocumentStore(memory), 1000);
		const ids = changes._unsafeUnwrap().map(({changeId}) => changeId);
		return ids.length === acceptedChangeIds.size && ids.every(id => acceptedChangeIds.has(id));
	}), {seed, numRuns: 20});
	t.pass('the property holds');
});
