import {test} from 'tap';
import {
	differenceBetween, DocumentStore, listChanges, listChangesBetween, MemoryPlatform,
} from '../../src/index.js';
import {create, edit, texts} from './fixtures.js';

const threeVersions = async () => {
	const platform = new MemoryPlatform();
	await create(platform);
	await edit(platform, {changeId: 'change-2', text: texts.databases.replace('35', '40')});
	await edit(platform, {changeId: 'change-3', section: 'monitor', text: `${texts.monitor}# end\n`});
	return platform;
};

test('differences between any two versions are shown', async t => {
	const platform = await threeVersions();
	const store = new DocumentStore(platform);
	const between = async (from: number, to: number) => {
		const difference = await differenceBetween(store, from, to);
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

// Guards against a gap in the history when an editor stops between the change and its history entry.
test('the next editor completes a missing history entry', async t => {
	const platform = await threeVersions();
	await platform.remove('document-history', '3', 1);
	await edit(platform, {changeId: 'change-4', section: 'applications'});
	const entry = await new DocumentStore(platform).entry(3);
	t.equal(entry._unsafeUnwrap().change.changeId, 'change-3');
});

test('a damaged history entry is reported', async t => {
	const platform = await threeVersions();
	await platform.put('document-history', '2', {change: 1}, 1);
	const changes = await listChanges(new DocumentStore(platform), 100);
	t.equal(changes._unsafeUnwrapErr().kind, 'damaged-document');
});
