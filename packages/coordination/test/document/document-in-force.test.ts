import {ok} from 'neverthrow';
import {test} from 'tap';
import {
	DocumentDissemination, DocumentInForce, DocumentStore, GossipMembership, InForceReceiver, ManualTimerService, MemoryDatagramNetwork,
	MemoryPlatform, repairDocument, type Platform,
} from '../../src/index.js';
import {
	createFirstDocument, submitEdit, FaultyPlatform, texts, timers,
} from './fixtures.js';

const createTwoVersions = async () => {
	const platform = new MemoryPlatform();
	const first = await createFirstDocument(platform);
	const second = await submitEdit(platform, {});
	return {platform, first: first._unsafeUnwrap(), second: second._unsafeUnwrap()};
};

// Guards against an older version that replaces a newer one, and against a damaged version that takes effect.
test('only newer, valid versions are applied', async t => {
	const {first, second} = await createTwoVersions();
	const inForce = new DocumentInForce({timers: new ManualTimerService()});
	const notifications: number[][] = [];
	inForce.onChange((next, previous) => notifications.push([next.version, previous?.version ?? 0]));
	const candidates = [
		[1, first.stored, 'applied'],
		[1, first.stored, 'current'],
		[2, {...second.stored, sections: {databases: 'x'}}, 'damaged-document'],
		[2, 'text', 'damaged-document'],
		[2, second.stored, 'applied'],
		[1, first.stored, 'older'],
	] as const;
	for (const [version, value, outcome] of candidates) {
		const result = inForce.applyIfNewer({version, value});
		t.equal(result.match(String, error => error.kind), outcome);
	}

	t.same(notifications, [[1, 0], [2, 1]]);
});

// Guards against a delta that results in a different document than the full content.
test('peers get full content or a delta, with the same result', async t => {
	const {first, second} = await createTwoVersions();
	const [source, byDelta, byFull, withoutDocument] = Array.from({length: 4}, () => new DocumentInForce({timers}));
	for (const inForce of [source!, byDelta!]) {
		inForce.applyIfNewer({version: 1, value: first.stored});
	}

	source!.applyIfNewer({version: 2, value: second.stored});
	const delta = source!.peerContentSince(1)!;
	t.ok(delta.length < source!.peerContentSince(0)!.length / 2);
	t.equal(byDelta!.applyPeerContentIfNewer({version: 2, content: delta})._unsafeUnwrap(), 'applied');
	t.equal(withoutDocument!.applyPeerContentIfNewer({version: 2, content: delta})._unsafeUnwrap(), 'needs-full');
	t.equal(byFull!.applyPeerContentIfNewer({version: 2, content: source!.peerContentSince(0)!})._unsafeUnwrap(), 'applied');
	t.same(byDelta!.current, byFull!.current);
	t.equal(source!.peerContentSince(2), undefined);
	withoutDocument!.applyPeerContentIfNewer({version: 9, content: JSON.stringify({kind: 'full', value: {}})});
	t.equal(withoutDocument!.status().damagedVersion, undefined, 'malformed content from a peer does not mark the version at the platform as damaged');
	t.equal(withoutDocument!.applyPeerContentIfNewer({version: 2, content: '{'})._unsafeUnwrapErr().kind, 'damaged-document');
});

test('the confirmation ages, and an older or damaged version does not renew it', async t => {
	const {first, second} = await createTwoVersions();
	const manual = new ManualTimerService();
	const inForce = new DocumentInForce({timers: manual});
	t.equal(inForce.status().shouldReportUnready, true);
	inForce.applyIfNewer({version: 2, value: second.stored, confirmedAtMs: 0});
	manual.advance(60_001);
	t.match(inForce.status(), {confirmationAgeMs: 60_001, isStale: true, shouldReportUnready: false});
	inForce.applyIfNewer({version: 1, value: first.stored, confirmedAtMs: 50_000});
	t.equal(inForce.unconfirmedSinceMs, 0);
	inForce.confirm(2, 50_000);
	t.match(inForce.status(), {confirmationAgeMs: 10_001, isStale: false});
	inForce.applyIfNewer({version: 3, value: {}});
	inForce.confirm(2, 60_000);
	t.match(inForce.status(), {confirmationAgeMs: 10_001, damagedVersion: 3});
});

/** Polls until the condition, which other tasks establish, holds. */
const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await timers.sleep(2);
	}
};

/** Creates a member of a fleet that disseminates the document. */
const createMember = (hostId: string, network: MemoryDatagramNetwork, inForce: DocumentInForce, options: {platform: Platform; peer?: DocumentInForce; errors: string[]}) => {
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
				const content = options.peer?.peerContentSince(knownVersion);
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

// Guards against a proxy that starts during a platform outage and gets no document, and against a damaged version that takes effect.
test('changes come from the platform, and from peers while it is down', async t => {
	const {platform, first, second} = await createTwoVersions();
	const faulty = new FaultyPlatform(platform);
	const network = new MemoryDatagramNetwork({timers, random: Math.random});
	const peer = new DocumentInForce({timers});
	peer.applyIfNewer({version: 1, value: first.stored});
	peer.applyIfNewer({version: 2, value: second.stored});
	const inForce = new DocumentInForce({timers});
	const errors: string[] = [];
	const other = createMember('other', network, peer, {platform: faulty, errors: []});
	const started = createMember('started', network, inForce, {platform: faulty, peer, errors});
	faulty.isDown = true;
	other.membership.join([]);
	started.membership.join(['other']);
	const running = started.dissemination.start();
	await waitUntil(() => inForce.version === 2);
	await running;
	t.same(errors, []);
	faulty.isDown = false;
	await submitEdit(platform, {changeId: 'change-2', text: `${texts.databases}# more`});
	await waitUntil(() => inForce.version === 3);
	await platform.put('document', 'governing', {}, 3);
	await waitUntil(() => errors.includes('damaged-document'));
	t.match(inForce.status(), {version: 3, damagedVersion: 4});
	started.dissemination.stop();
	started.membership.stop();
	other.membership.stop();
});

// Guards against thousands of watches at the platform, and against a version that counts as confirmed although only unconfirmed peers reported it.
test('a member that does not watch follows its peers without a call to the platform', async t => {
	const {platform, first, second} = await createTwoVersions();
	const network = new MemoryDatagramNetwork({timers, random: Math.random});
	const [watchedPlatform, unwatchedPlatform] = [new FaultyPlatform(platform), new FaultyPlatform(new MemoryPlatform())];
	const watcherInForce = new DocumentInForce({timers});
	const inForce = new DocumentInForce({timers});
	inForce.applyIfNewer({version: 1, value: first.stored});
	watcherInForce.applyIfNewer({version: 1, value: first.stored});
	const watchers = ['w1', 'w2'].map(name => createMember(name, network, watcherInForce, {platform: watchedPlatform, errors: []}));
	const errors: string[] = [];
	const follower = createMember('c', network, inForce, {platform: unwatchedPlatform, peer: watcherInForce, errors});
	const members = [...watchers, follower];
	for (const {membership} of members) {
		membership.join(['w1']);
	}

	await waitUntil(() => members.every(({membership}) => membership.members().length === 3));
	const otherMembers = members.filter(({dissemination}) => dissemination !== follower.dissemination);
	await follower.dissemination.start();
	const callsBefore = unwatchedPlatform.callCount;
	t.equal(follower.dissemination.confirmedAgeMs(), undefined);
	await Promise.all(otherMembers.map(async ({dissemination}) => dissemination.start()));
	await waitUntil(() => inForce.version === second.version && follower.dissemination.confirmedAgeMs() !== undefined);
	// The host ids decide which two of the three members watch.
	t.equal(follower.dissemination.isWatcher(), false);
	t.equal(unwatchedPlatform.callCount, callsBefore);
	t.same(errors, []);
	for (const {membership, dissemination} of members) {
		dissemination.stop();
		membership.stop();
	}
});

// Guards against a damaged object that no operation can replace: edits are refused while the object is damaged.
test('a damaged object refuses edits and is repaired from the version in force', async t => {
	const {platform, second} = await createTwoVersions();
	await platform.put('document', 'governing', {sections: {}}, 2);
	const refused = await submitEdit(platform, {changeId: 'change-2'});
	t.equal(refused._unsafeUnwrapErr().kind, 'damaged-document');
	const repair = {
		lastKnownGood: second, changeId: 'repair-1', team: 'on-call', author: 'on-call', reason: 'damaged',
	};
	const byUnlistedAuthor = await repairDocument({platform, timers}, {...repair, author: 'nobody'});
	t.equal(byUnlistedAuthor._unsafeUnwrapErr().kind, 'not-allowed');
	const repaired = await repairDocument({platform, timers}, repair);
	t.match(repaired._unsafeUnwrap(), {version: 4, document: second.document});
	const unneeded = await repairDocument({platform, timers}, {...repair, changeId: 'repair-2'});
	t.equal(unneeded._unsafeUnwrapErr().kind, 'document-exists');
	const entry = await new DocumentStore(platform).readHistoryEntry(4);
	t.match(entry._unsafeUnwrap().change, {baseVersion: 2, section: 'all'});
});
