/**
 * Five members in one process, without sockets: they find each other by gossip, bring a governing
 * document into force, verify each other's session tokens, and replace a failed primary.
 */
import process from 'node:process';
import {
	createDocument, defaultDocument, editSection, ManualTimerService, MemoryDatagramNetwork, MemoryPlatform,
	PromotePrimary, stringifySections, SessionTokenCodec,
} from '@dogwoodthread/coordination';
import {MemoryInstances} from './instances.js';
import {FleetMember} from './member.js';

const database = 'ledger';
const stepMs = 20;
const maxWaitMs = 60_000;
const author = {team: 'database-owners', author: 'otieno'};

/** Creates a generator of numbers in [0, 1) that are the same in every run (Lehmer generator, modulus 2^31 - 1). */
const createRandom = seed => {
	const modulus = (2 ** 31) - 1;
	let state = seed;
	return () => {
		state = (state * 48_271) % modulus;
		return (state - 1) / (modulus - 1);
	};
};

const print = line => {
	process.stdout.write(`${line}\n`);
};

const timers = new ManualTimerService();
const random = createRandom(20_261);
const platform = new MemoryPlatform();
const network = new MemoryDatagramNetwork({timers, random, delayMs: 1});

/** Advances the simulated clock until the condition holds; returns the simulated time that it took, in ms. */
const waitUntil = async condition => {
	const startMs = timers.nowMs();
	while (!condition()) {
		if (timers.nowMs() - startMs > maxWaitMs) {
			throw new Error(`Not reached within ${maxWaitMs} ms of simulated time: ${condition}`);
		}

		await timers.advanceAsync(stepMs);
	}

	return timers.nowMs() - startMs;
};

const unwrap = result => {
	if (result.isErr()) {
		throw new Error(`${result.error.kind}: ${result.error.message}`);
	}

	return result.value;
};

// 1. The platform holds the governing document and the group's record.
const sections = stringifySections(defaultDocument([database], {authors: {databases: [author.author]}}));
unwrap(await createDocument({platform, timers}, {
	...author, changeId: 'first-document', reason: 'first document', sections,
}));
const groupMembers = ['a', 'b', 'c'].map((memberId, index) => ({
	memberId, address: `10.1.0.${index + 1}:5432`, replicationAddress: `10.1.0.${index + 1}:5433`, failureDomain: `zone-${index + 1}`,
}));
unwrap(await platform.put('groups', database, {
	database, members: groupMembers, term: 1, primary: 'a', phase: 'established', changeId: 'first-group',
}, 0));

// 2. Five members of one failure domain join through the first one; two of them watch the platform.
const fleet = new Map();
const members = Array.from({length: 5}, (_, index) => new FleetMember({
	hostId: `host-${index + 1}`, failureDomain: 'zone-1', fleet, network, platform, timers, random,
}));
for (const member of members) {
	member.start(members[0].transport.address);
}

const joinedMs = await waitUntil(() => members.every(member => member.aliveMembers().length === members.length));
print(`members: ${members[4].aliveMembers().join(', ')} know each other after ${joinedMs} ms`);

// 3. A change of the document reaches every member, whether it watches the platform or not.
const inForceEverywhere = version => members.every(({inForce}) => inForce.version >= version);
const {version: firstVersion} = await platform.get('document', 'governing').unwrapOr({version: Number.NaN});
await waitUntil(() => inForceEverywhere(firstVersion));
print(`document: version ${firstVersion} in force on ${members.length} members, ${members.filter(member => member.watchesPlatform).length} of them watch the platform`);

const {stored} = members[0].inForce.current;
const {acceptedVersion} = unwrap(await editSection({platform, timers}, {
	...author, changeId: 'larger-instances', reason: 'larger instances', section: 'databases', text: stored.sections.databases.replace('slots: 5', 'slots: 6'),
}));
const changeMs = await waitUntil(() => inForceEverywhere(acceptedVersion));
const slots = members.map(({inForce}) => inForce.current.document.databases[database].slots);
print(`document: version ${acceptedVersion} in force everywhere after ${changeMs} ms, slots ${slots.join(' ')}`);

// 4. A session token that one member signed is verified by another with the same keys.
const codecs = [['key-of-this-month', 'key-of-last-month'], ['key-of-last-month', 'key-of-this-month']].map(keys => new SessionTokenCodec(keys));
const token = codecs[0].encode({database, term: 1, index: 7});
const position = unwrap(codecs[1].decode(token, database));
print(`token: ${position.database}, term ${position.term}, index ${position.index}`);
const altered = token.replace('.1.7.', '.1.8.');
print(`altered token: ${codecs[1].decode(altered, database).match(() => 'accepted', ({kind}) => kind)}`);

// 5. The primary fails, and so does a member. Two others replace the primary at the same time.
const instances = new MemoryInstances({a: {term: 1, index: 7}, b: {term: 1, index: 5}, c: {term: 1, index: 7}});
instances.stop('a');
const [crashed, ...live] = members;
await crashed.crash();
fleet.delete(crashed.membership.self().peerAddress);
const noticedMs = await waitUntil(() => live.every(member => !member.aliveMembers().includes(crashed.hostId)
	&& member.membership.get(crashed.hostId)?.state === 'dead'));
print(`failure: ${crashed.hostId} is dead for ${live.length} members after ${noticedMs} ms`);

const outcomes = await Promise.all(live.slice(0, 2).map(async ({hostId}) => {
	let changes = 0;
	const promotion = new PromotePrimary({
		platform, control: instances, timers, hostId,
		newChangeId() {
			changes += 1;
			return `${hostId}-change-${changes}`;
		},
	});
	const result = await promotion.run({
		database, replaces: 'a', observedTerm: 1, avoidedMemberIds: [], excludedMemberIds: [],
	});
	return `${hostId} ${result.match(({primary, term}) => `promoted ${primary} in term ${term}`, ({kind}) => `gave up (${kind})`)}`;
}));
print(`promotion: ${outcomes.join('; ')}`);
const {value: group} = unwrap(await platform.get('groups', database));
print(`group: term ${group.term}, primary ${group.primary}, ${group.phase}`);

await Promise.all(live.map(async member => member.crash()));
