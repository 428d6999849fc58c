import {ok} from 'neverthrow';
import {test} from 'tap';
import {
	DocumentDissemination, DocumentInForce, DocumentStore, GossipMembership, InForceReceiver, ManualTimerService, MemoryDatagramNetwork,
	MemoryPlatform, repairDocument, type Platform,
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

/** A member of a small fleet that spreads the document. */
const member = (hostId: string, network: MemoryDatagramNetwork, inForce: DocumentInForce, options: {platform: Platform; peer?: DocumentInForce; errors: string[]}) => {
	const membership = new GossipMembership({
		self: {
			hostId, startedUnixMs: 1, gossipAddress: hostId, peerAddress: hostId, failureDomain: 'a', region: 'r',
		},
		transport: network.create(hostId),
		timers,
		random: Math.random,
		settings: {probeIntervalMs: 20},
	});
	const dissemination = new DocumentDissemination({
		platform: options.platform,
		membership,
		documentReceiver: new InForceReceiver(inForce, ({kind}) => {
			options.errors.push(kind);
		}),
		peers: {
			async fetch(_address, knownVersion) {
				const content = options.peer?.contentFor(knownVersion);
				return ok(content === undefined ? undefined : {version: options.peer!.version, content});
			},
		},
		timers,
		random: Math.random,
		settings: {
			watchWaitMs: 20, callTimeoutMs: 100, fetchJitterMs: 1, minBackoffMs: 5, maxBackoffMs: 20,
		},
	});
	return {membership, dissemination};
};

// Guards against a proxy that starts in an outage without a document, and against a damaged one in force.
test('changes come from the platform, and from peers while it is down', async t => {
	const {platform, first, second} = await twoVersions();
	const faulty = new FaultyPlatform(platform);
	const network = new MemoryDatagramNetwork({timers, random: Math.random});
	const peer = new DocumentInForce({timers});
	peer.offer({version: 1, value: first.stored});
	peer.offer({version: 2, value: second.stored});
	const inForce = new DocumentInForce({timers});
	const errors: string[] = [];
	const other = member('other', network, peer, {platform: faulty, errors: []});
	const started = member('started', network, inForce, {platform: faulty, peer, errors});
	faulty.down = true;
	other.membership.join([]);
	started.membership.join(['other']);
	const running = started.dissemination.start();
	await until(() => inForce.version === 2);
	await running;
	t.same(errors, []);
	faulty.down = false;
	await edit(platform, {changeId: 'change-2', text: `${texts.databases}# more`});
	await until(() => inForce.version === 3);
	await platform.put('document', 'governing', {}, 3);
	await until(() => errors.includes('damaged-document'));
	t.match(inForce.status(), {version: 3, damagedVersion: 4});
	started.dissemination.stop();
	started.membership.stop();
	other.membership.stop();
});

// Guards against thousands of watches at the platform, and against versions confirmed by unconfirmed peers only.
test('a member that does not watch follows its peers without a call to the platform', async t => {
	const {platform, first, second} = await twoVersions();
	const network = new MemoryDatagramNetwork({timers, random: Math.random});
	const [watched, silent] = [new FaultyPlatform(platform), new FaultyPlatform(new MemoryPlatform())];
	const watcherInForce = new DocumentInForce({timers});
	const inForce = new DocumentInForce({timers});
	inForce.offer({version: 1, value: first.stored});
	watcherInForce.offer({version: 1, value: first.stored});
	const watchers = ['w1', 'w2'].map(name => member(name, network, watcherInForce, {platform: watched, errors: []}));
	const errors: string[] = [];
	const follower = member('c', network, inForce, {platform: silent, peer: watcherInForce, errors});
	const members = [...watchers, follower];
	for (const {membership} of members) {
		membership.join(['w1']);
	}

	await until(() => members.every(({membership}) => membership.members().length === 3));
	const byRole = members.filter(({dissemination}) => dissemination !== follower.dissemination);
	await follower.dissemination.start();
	const callsBefore = silent.calls;
	t.equal(follower.dissemination.confirmedAgeMs(), undefined);
	await Promise.all(byRole.map(async ({dissemination}) => dissemination.start()));
	await until(() => inForce.version === second.version && follower.dissemination.confirmedAgeMs() !== undefined);
	// The host ids decide which two of the three members watch.
	t.equal(follower.dissemination.isWatcher(), false);
	t.equal(silent.calls, callsBefore);
	t.same(errors, []);
	for (const {membership, dissemination} of members) {
		dissemination.stop();
		membership.stop();
	}
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
