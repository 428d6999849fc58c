import {test} from 'tap';
import {
	differenceBetweenVersions, DocumentStore, listChanges, listChangesBetween, MemoryPlatform,
} from '../../src/index.js';
import {createFirstDocument, submitEdit, texts} from './fixtures.js';

const createThreeVersions = async () => {
	const platform = new MemoryPlatform();
	await createFirstDocument(platform);
	await submitEdit(platform, {changeId: 'change-2', text: texts.databases.replace('35', '40')});
	await submitEdit(platform, {changeId: 'change-3', section: 'monitor', text: `${texts.monitor}# end\n`});
	return platform;
};

test('differences between any two versions are computed', async t => {
	const platform = await createThreeVersions();
	const store = new DocumentStore(platform);
	const between = async (from: number, to: number) => {
		const difference = await differenceBetweenVersions(store, from, to);
		return difference.match(value => value, error => error.kind);
	};

	t.matchSnapshot({
		'1 to 3': await between(1, 3), '2 to 2': await between(2, 2), '3 to 1': await between(3, 1), '1 to 9': await between(1, 9),
	});
	const latest = await listChanges(store, 2);
	t.same(latest._unsafeUnwrap().map(({version}) => version), [3, 2]);
	const period = await listChangesBetween(store, 0, Number.MAX_SAFE_INTEGER);
	t.same(period._unsafeUnwrap().map(({change}) => change.changeId), ['creation', 'change-2', 'change-3']);
});

// Guards against a gap in the history if an editor's process stops after writing the change and before writing its history entry.
test('the next editor completes a missing history entry', async t => {
	const platform = await createThreeVersions();
	await platform.remove('document-history', '3', 1);
	await submitEdit(platform, {changeId: 'change-4', section: 'applications'});
	const entry = await new DocumentStore(platform).readHistoryEntry(3);
	t.equal(entry._unsafeUnwrap().change.changeId, 'change-3');
});

test('a damaged history entry is reported', async t => {
	const platform = await createThreeVersions();
	await platform.put('document-history', '2', {change: 1}, 1);
	const changes = await listChanges(new DocumentStore(platform), 100);
	t.equal(changes._unsafeUnwrapErr().kind, 'damaged-document');
});
