import {type Platform, type PlatformHost, maxValueBytes} from '@dogwoodthread/coordination';
import {type Test} from 'tap';
import {expectError, expectValue} from './results.js';

/** Implementation under test; `setHosts` stands in for whoever maintains the list of hosts. */
export type PlatformUnderTest = {platform: Platform; setHosts: (hosts: PlatformHost[]) => void};

const leavingHost: PlatformHost = {
	hostId: 'p1', role: 'proxy', address: '127.0.0.1:1', failureDomain: 'a', region: 'r', state: 'leaving',
};

/** Tests that every implementation of `Platform` must pass. */
export const platformContract: Record<string, (t: Test, subject: PlatformUnderTest) => Promise<void>> = {
	// Guards against a second create that overwrites the object of the first.
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
	// Guards against versions that restart when an object is recreated, which would let a late conditional update succeed.
	async 'remove needs the current version, and versions keep growing after it'(t, {platform}) {
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
	// Guards against a change that is lost between the list and the watch.
	async 'list and watch return each change exactly once'(t, {platform}) {
		await platform.put('owners', 'a', 1, 0);
		await platform.put('groups', 'other', 1, 0);
		const list = await expectValue(platform.list('owners'));
		t.same(list.objects, [{
			kind: 'owners', name: 'a', version: 1, value: 1,
		}]);
		const waiting = platform.watch('owners', list.revision, 10_000);
		await platform.put('groups', 'other', 2, 1);
		await platform.put('owners', 'b', 2, 0);
		const batch = await expectValue(waiting);
		t.same(batch.changes, [{name: 'b', version: 1, value: 2}]);
		const empty = await expectValue(platform.watch('owners', batch.revision, 5));
		t.same(empty, {changes: [], revision: batch.revision});
		await platform.remove('owners', 'a', 1);
		const removal = await expectValue(platform.watch('owners', batch.revision, 10_000));
		t.same(removal.changes.map(change => [change.name, 'value' in change]), [['a', false]]);
	},
	// Guards against an oversized value that is stored in part.
	async 'a value over the size limit is refused without effect'(t, {platform}) {
		const large = await platform.put('document', 'd', 'x'.repeat(maxValueBytes), 0);
		t.match(large._unsafeUnwrapErr(), {kind: 'too-large', outcomeKnown: true});
		const accepted = await platform.put('document', 'd', 'x'.repeat(maxValueBytes - 2), 0);
		t.ok(accepted.isOk());
	},
	// Guards against a name that is the path of other objects, or of none, and one that ends the caller's task instead of the call.
	async 'a name is one part of a path, or names no object'(t, {platform}) {
		const names = ['a/../b', '%2e%2e', 'a?x=1#y', ' ', '\u00E9/\u4E2D', '__proto__', 'a\r\nb', '...'];
		for (const [index, name] of names.entries()) {
			await expectValue(platform.put('groups', name, {index}, 0));
		}

		for (const [index, name] of names.entries()) {
			t.match(await expectValue(platform.get('groups', name)), {name, value: {index}}, name);
		}

		const {objects} = await expectValue(platform.list('groups'));
		t.same(objects.map(({name}) => name).toSorted(), names.toSorted());
		for (const name of ['', '.', '..', '\uD800', 'a\uDC00']) {
			const refusal = {kind: 'not-found', outcomeKnown: true, message: /rename it/};
			t.match(await expectError(platform.get('groups', name)), refusal, JSON.stringify(name));
			t.match(await expectError(platform.put('groups', name, 1, 0)), refusal);
			t.match(await expectError(platform.remove('groups', name, 1)), refusal);
		}
	},
	async 'hosts returns the maintained list'(t, {platform, setHosts}) {
		setHosts([leavingHost]);
		t.same(await expectValue(platform.hosts()), [leavingHost]);
	},
};
