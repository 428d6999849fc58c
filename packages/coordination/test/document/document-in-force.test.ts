import {test} from 'tap';
import {
	DocumentFollower, DocumentInForce, DocumentStore, ManualTimerService, MemoryPlatform, type PeerDocument, repairDocument,
} from '../../src/index.js';
import {
	create, edit, FaultyPlatform, texts, timers,
} from './fixtures.js';

const twoVersions = async () => {
	const platform = new MemoryPlatform();
	const first = await create(platform);
	const second = await edit(platform, {});
	return {platform, first: first._unsafeUnwrap(), second: second._unsafeUnwrap()};
};

// Guards against a version that is taken back, and against a damaged one that takes effect.
test('versions are applied upwards only', async t => {
	const {first, second} = await twoVersions();
	const inForce = new DocumentInForce({timers: new ManualTimerService()});
	const seen: number[][] = [];
	inForce.onChange((next, previous) => seen.push([next.version, previous?.version ?? 0]));
	const offers = [
		[1, first.stored, 'applied'],
		[1, first.stored, 'current'],
		[2, {...second.stored, sections: {databases: 'x'}}, 'damaged-document'],
		[2, 'text', 'damaged-document'],
		[2, second.stored, 'applied'],
		[1, first.stored, 'older'],
	] as const;
	for (const [version, value, outcome] of offers) {
		const offered = inForce.offer({version, value});
		t.equal(offered.match(String, error => error.kind), outcome);
	}

	t.same(seen, [[1, 0], [2, 1]]);
});

// Guards against a delta that makes another document than the full content.
test('peers get full content or a delta, with the same result', async t => {
	const {first, second} = await twoVersions();
	const [source, byDelta, byFull, behind] = Array.from({length: 4}, () => new DocumentInForce({timers}));
	for (const inForce of [source!, byDelta!]) {
		inForce.offer({version: 1, value: first.stored});
	}

	source!.offer({version: 2, value: second.stored});
	const delta = source!.contentFor(1)!;
	t.ok(delta.length < source!.contentFor(0)!.length / 2);
	t.equal(byDelta!.offerContent({version: 2, content: delta})._unsafeUnwrap(), 'applied');
	t.equal(behind!.offerContent({version: 2, content: delta})._unsafeUnwrap(), 'needs-full');
	t.equal(byFull!.offerContent({version: 2, content: source!.contentFor(0)!})._unsafeUnwrap(), 'applied');
	t.same(byDelta!.current, byFull!.current);
	t.equal(source!.contentFor(2), undefined);
	behind!.offerContent({version: 9, content: JSON.stringify({kind: 'full', value: {}})});
	t.equal(behind!.status().damagedVersion, undefined, 'a bad peer says nothing about the platform');
	t.equal(behind!.offerContent({version: 2, content: '{'})._unsafeUnwrapErr().kind, 'damaged-document');
});

test('confirmation ages, and a lagging or damaged source does not confirm', async t => {
	const {first, second} = await twoVersions();
	const manual = new ManualTimerService();
	const inForce = new DocumentInForce({timers: manual});
	t.equal(inForce.status().makesUnready, true);
	inForce.offer({version: 2, value: second.stored, confirmedAtMs: 0});
	manual.advance(60_001);
	t.match(inForce.status(), {confirmationAgeMs: 60_001, isStale: true, makesUnready: false});
	inForce.offer({version: 1, value: first.stored, confirmedAtMs: 50_000});
	t.equal(inForce.unconfirmedSinceMs, 0);
	inForce.confirm(2, 50_000);
	t.match(inForce.status(), {confirmationAgeMs: 10_001, isStale: false});
	inForce.offer({version: 3, value: {}});
	inForce.confirm(2, 60_000);
	t.match(inForce.status(), {confirmationAgeMs: 10_001, damagedVersion: 3});
});

/** Waits for a condition that other tasks bring about. */
const until = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await timers.sleep(2);
	}
};

test('a follower takes changes from the platform, and from peers while it is down', async t => {
	const {platform, first, second} = await twoVersions();
	const faulty = new FaultyPlatform(platform);
	const peer = new DocumentInForce({timers});
	peer.offer({version: 1, value: first.stored});
	peer.offer({version: 2, value: second.stored});
	const inForce = new DocumentInForce({timers});
	const errors: string[] = [];
	const follower = new DocumentFollower({
		platform: faulty,
		timers,
		inForce,
		waitMs: 20,
		peers: {ask: async (knownVersion): Promise<PeerDocument[]> => [{version: peer.version, content: peer.contentFor(knownVersion), confirmationAgeMs: 0}]},
		onError: ({kind}) => errors.push(kind),
	});
	faulty.down = true;
	const running = follower.run();
	await until(() => inForce.version === 2);
	t.ok(errors.every(kind => kind === 'platform-unavailable'));
	faulty.down = false;
	await edit(platform, {changeId: 'change-2', text: `${texts.databases}# more`});
	await until(() => inForce.version === 3);
	await platform.put('document', 'governing', {}, 3);
	await until(() => errors.includes('damaged-document'));
	t.match(inForce.status(), {version: 3, damagedVersion: 4});
	follower.stop();
	await running;
});

// Guards against thousands of watches at the platform, and against versions confirmed by unconfirmed peers only.
test('a follower that does not watch follows its peers without a call to the platform', async t => {
	const {first, second} = await twoVersions();
	const platform = new FaultyPlatform(new MemoryPlatform());
	const peer = new DocumentInForce({timers});
	const inForce = new DocumentInForce({timers});
	const confirmation: {ageMs?: number} = {};
	const follower = new DocumentFollower({
		platform,
		timers,
		inForce,
		waitMs: 20,
		shouldWatch: () => false,
		peers: {ask: async knownVersion => [{version: peer.version, content: peer.contentFor(knownVersion), confirmationAgeMs: confirmation.ageMs}]},
	});
	const startedAtMs = inForce.unconfirmedSinceMs;
	const running = follower.run();
	for (const {version, stored} of [first, second]) {
		peer.offer({version, value: stored});
		await until(() => inForce.version === version);
	}

	t.equal(inForce.unconfirmedSinceMs, startedAtMs);
	confirmation.ageMs = 0;
	await until(() => inForce.unconfirmedSinceMs > startedAtMs);
	follower.stop();
	await running;
	t.equal(platform.calls, 0);
});

// Guards against a damaged object that nobody can replace any more.
test('a damaged object refuses edits and is repaired from the version in force', async t => {
	const {platform, second} = await twoVersions();
	await platform.put('document', 'governing', {sections: {}}, 2);
	const refused = await edit(platform, {changeId: 'change-2'});
	t.equal(refused._unsafeUnwrapErr().kind, 'damaged-document');
	const repair = {
		lastGood: second, changeId: 'repair-1', team: 'on-call', author: 'on-call', reason: 'damaged',
	};
	const stranger = await repairDocument({platform, timers}, {...repair, author: 'nobody'});
	t.equal(stranger._unsafeUnwrapErr().kind, 'not-allowed');
	const repaired = await repairDocument({platform, timers}, repair);
	t.match(repaired._unsafeUnwrap(), {version: 4, document: second.document});
	const unneeded = await repairDocument({platform, timers}, {...repair, changeId: 'repair-2'});
	t.equal(unneeded._unsafeUnwrapErr().kind, 'document-exists');
	const entry = await new DocumentStore(platform).entry(4);
	t.match(entry._unsafeUnwrap().change, {baseVersion: 2, section: 'all'});
});
