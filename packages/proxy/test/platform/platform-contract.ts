import {type Platform, type PlatformHost, maxValueBytes} from '@dogwoodthread/coordination';
import {type Test} from 'tap';
import {valueOf} from './results.js';

/** An implementation under test; `setHosts` stands for whoever maintains the list of hosts. */
export type Subject = {platform: Platform; setHosts: (hosts: PlatformHost[]) => void};

const host: PlatformHost = {
	hostId: 'p1', role: 'proxy', address: '127.0.0.1:1', failureDomain: 'a', region: 'r', state: 'leaving',
};

/** What every implementation of the port `Platform` must do. */
export const platformContract: Record<string, (t: Test, subject: Subject) => Promise<void>> = {
	// Guards against a second creator that overwrites the first.
	async 'put creates once and updates only the expected version'(t, {platform}) {
		const created = await platform.put('groups', 'b/1', {term: 1}, 0);
		t.equal(created._unsafeUnwrap(), 1);
		const again = await platform.put('groups', 'b/1', {term: 9}, 0);
		t.match(again._unsafeUnwrapErr(), {kind: 'conflict', outcomeKnown: true});
		const updated = await platform.put('groups', 'b/1', {term: 2}, 1);
		t.ok(updated._unsafeUnwrap() > 1);
		const stale = await platform.put('groups', 'b/1', {term: 3}, 1);
		t.equal(stale._unsafeUnwrapErr().kind, 'conflict');
		const found = await platform.get('groups', 'b/1');
		t.same(found._unsafeUnwrap(), {
			kind: 'groups', name: 'b/1', version: updated._unsafeUnwrap(), value: {term: 2},
		});
	},
	// Guards against a version that starts over, which would let a late conditional update through.
	async 'remove needs the version, and versions go on growing'(t, {platform}) {
		await platform.put('groups', 'b', 1, 0);
		const wrong = await platform.remove('groups', 'b', 7);
		t.equal(wrong._unsafeUnwrapErr().kind, 'conflict');
		const removed = await platform.remove('groups', 'b', 1);
		t.ok(removed.isOk());
		const missing = await platform.get('groups', 'b');
		t.match(missing._unsafeUnwrapErr(), {kind: 'not-found', outcomeKnown: true});
		const recreated = await platform.put('groups', 'b', 1, 0);
		t.ok(recreated._unsafeUnwrap() > 1);
	},
	// Guards against a change that falls between the list and the watch.
	async 'list and watch give each change exactly once'(t, {platform}) {
		await platform.put('owners', 'a', 1, 0);
		await platform.put('groups', 'other', 1, 0);
		const list = await valueOf(platform.list('owners'));
		t.same(list.objects, [{
			kind: 'owners', name: 'a', version: 1, value: 1,
		}]);
		const waiting = platform.watch('owners', list.revision, 10_000);
		await platform.put('groups', 'other', 2, 1);
		await platform.put('owners', 'b', 2, 0);
		const batch = await valueOf(waiting);
		t.same(batch.changes, [{name: 'b', version: 1, value: 2}]);
		const nothing = await valueOf(platform.watch('owners', batch.revision, 5));
		t.same(nothing, {changes: [], revision: batch.revision});
		await platform.remove('owners', 'a', 1);
		const removal = await valueOf(platform.watch('owners', batch.revision, 10_000));
		t.same(removal.changes.map(change => [change.name, 'value' in change]), [['a', false]]);
	},
	// Guards against an oversized value that takes effect in part.
	async 'a value over the limit is refused without an effect'(t, {platform}) {
		const large = await platform.put('document', 'd', 'x'.repeat(maxValueBytes), 0);
		t.match(large._unsafeUnwrapErr(), {kind: 'too-large', outcomeKnown: true});
		const fits = await platform.put('document', 'd', 'x'.repeat(maxValueBytes - 2), 0);
		t.ok(fits.isOk());
	},
	async 'hosts gives the list as maintained'(t, {platform, setHosts}) {
		setHosts([host]);
		t.same(await valueOf(platform.hosts()), [host]);
	},
};
