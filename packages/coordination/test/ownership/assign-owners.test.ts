import fc from 'fast-check';
import {errAsync, type ResultAsync} from 'neverthrow';
import {test} from 'tap';
import {
	findActingSeat, AssignOwners, assignSeats, type Member, type MembershipView, MemoryPlatform, type OwnerSeat, type PlatformError,
	rankByRendezvous, reservedConnectionsPerSeat, seatsPerDatabase, statementConnectionsPerSeat,
} from '../../src/index.js';

const memberOf = (index: number, overrides: Partial<Member> = {}): Member => ({
	hostId: `h${index}`, startedUnixMs: 1, refutation: 0, state: 'alive', gossipAddress: `h${index}:1`, peerAddress: `h${index}:2`,
	failureDomain: `fd${index % 4}`, region: 'r', documentVersion: 1, ...overrides,
});
const viewOf = (members: readonly Member[]): MembershipView => ({
	self: () => members[0]!, members: () => members, get: hostId => members.find(member => member.hostId === hostId), onChange: () => () => undefined,
});
const fleet = (size: number) => Array.from({length: size}, (_, index) => memberOf(index));
const change = (members: readonly Member[], hostId: string, overrides: Partial<Member>) =>
	members.map(member => member.hostId === hostId ? {...member, ...overrides} : member);
const domainsOf = (seats: readonly OwnerSeat[]) => new Set(seats.map(({failureDomain}) => failureDomain)).size;

/** A platform whose next writes lose their request or response, or are refused, according to `faults`. */
class LossyPlatform extends MemoryPlatform {
	faults: string[] = [];

	override put(...[kind, name, value, version]: Parameters<MemoryPlatform['put']>): ResultAsync<number, PlatformError> {
		const fault = this.faults.shift() ?? 'none';
		const written = fault === 'none' || fault === 'answer-lost' ? super.put(kind, name, value, version) : undefined;
		return fault === 'none' ? written! : errAsync({kind: 'unavailable', message: fault, outcomeKnown: fault === 'refused'});
	}
}

const assigner = (platform: MemoryPlatform, members: readonly Member[], proxy = 'p') => {
	let changes = 0;
	return new AssignOwners({
		platform, membership: viewOf(members), newChangeId() {
			changes += 1;
			return `${proxy}-${changes}`;
		},
	});
};

// Guards against seats that move unnecessarily, share a failure domain, or are held by a host that is gone.
test('seats after a change of one holder', t => {
	const members = fleet(8);
	const before = assignSeats('ledger', [], viewOf(members));
	t.same([before.map(({rank, generation}) => [rank, generation]), domainsOf(before)], [[[0, 1], [1, 1], [2, 1]], 3]);
	const first = before[0]!;
	const cases: Array<[name: string, overrides: Partial<Member>, replaced: boolean]> = [
		['suspect', {state: 'suspect'}, false],
		['leaving', {state: 'leaving'}, true],
		['dead', {state: 'dead'}, true],
		['restarted with the same host id', {startedUnixMs: 2}, true],
	];
	for (const [name, overrides, replaced] of cases) {
		const view = viewOf(change(members, first.hostId, overrides));
		const after = assignSeats('ledger', before, view);
		t.same(after.slice(0, 2), replaced ? before.slice(1) : before.slice(0, 2), `${name}: others keep seat and order`);
		t.match(after.find(({rank}) => rank === 0), {generation: replaced ? 2 : 1}, name);
		t.equal(domainsOf(after), 3, `${name}: failure domains differ`);
		t.equal(findActingSeat({database: 'ledger', seats: before, changeId: ''}, view)?.rank, replaced ? 1 : 0, `${name}: acting rank`);
	}

	const spreads = Array.from({length: 50}, (_, index) => domainsOf(assignSeats(`db${index}`, [], viewOf(members))));
	t.same(new Set(spreads), new Set([3]), 'any database has seats in three failure domains');
	const two = assignSeats('ledger', [], viewOf(fleet(2)));
	t.equal(two.length, 2, 'fewer proxies than seats');
	t.equal(domainsOf(assignSeats('ledger', [], viewOf([0, 4, 8, 1].map(index => memberOf(index))))), 2, 'fewer failure domains than seats');
	t.same(assignSeats('ledger', before, viewOf([])), before, 'seats that nobody can take stay on record');
	t.equal(findActingSeat({database: 'ledger', seats: before, changeId: ''}, viewOf([])), undefined);
	t.end();
});

// Guards against assigning a generation to two incarnations, which endpoints could not tell apart (design 5.6).
test('generations never repeat for a rank, whatever happens to members and answers', async t => {
	const seed = Number(process.env.DOGWOOD_SEED ?? 20_261_204);
	t.comment(`DOGWOOD_SEED=${seed}`);
	const event = fc.record({
		host: fc.nat(5), overrides: fc.constantFrom<Array<Partial<Member>>>({state: 'dead'}, {state: 'leaving'}, {state: 'suspect'}, {state: 'alive'}, {}),
		faults: fc.array(fc.constantFrom('none', 'answer-lost', 'request-lost', 'refused'), {maxLength: 3}), proxies: fc.integer({min: 1, max: 3}),
	});
	await fc.assert(fc.asyncProperty(fc.array(event, {maxLength: 40, size: 'max'}), async events => {
		const platform = new LossyPlatform();
		const holders = new Map<string, string>();
		let members: readonly Member[] = fleet(6);
		for (const [step, {host, overrides, faults, proxies}] of events.entries()) {
			// Empty overrides stand for a restart of the host as a new incarnation.
			members = change(members, `h${host}`, Object.keys(overrides).length === 0 ? {state: 'alive', startedUnixMs: step + 2} : overrides);
			platform.faults = [...faults];
			const views = [members, change(members, `h${(host + 1) % 6}`, {state: 'dead'}), members];
			await Promise.all(views.slice(0, proxies).map(async (view, proxy) => assigner(platform, view, `${step}-${proxy}`).run('ledger')));
			const watched = await platform.watch('owners', 0, 0);
			const {seats} = (watched._unsafeUnwrap().changes[0]?.value ?? {seats: []}) as {seats: OwnerSeat[]};
			for (const {rank, generation, hostId, startedUnixMs} of seats) {
				const [key, holder] = [`${rank}/${generation}`, `${hostId}/${startedUnixMs}`];
				if ((holders.get(key) ?? holder) !== holder || [...holders.keys()].some(other => other.startsWith(`${rank}/`) && Number(other.slice(2)) > generation)) {
					throw new Error(`${key} was ${holders.get(key)}, is ${holder}`);
				}

				holders.set(key, holder);
			}

			if (new Set(seats.map(({rank}) => rank)).size !== seats.length || seats.length > seatsPerDatabase) {
				throw new Error('a rank is on record twice');
			}
		}
	}), {seed, numRuns: 300});
	t.pass('the property holds');
});

// Guards against two proxies that act on different records, and against writes that are repeated after a fault.
test('assignment under platform faults', async t => {
	const cases: Array<[name: string, faults: string[], outcome: string, version: number]> = [
		['none', [], 'ok', 1],
		['answer lost', ['answer-lost'], 'ok', 1],
		['request lost', ['request-lost'], 'ok', 1],
		['refused during an outage', ['refused'], 'platform-unavailable', 0],
		['every request lost', Array.from({length: 9}, () => 'request-lost'), 'platform-unavailable', 0],
	];
	for (const [name, faults, outcome, version] of cases) {
		const platform = new LossyPlatform();
		platform.faults = faults;
		const owners = assigner(platform, fleet(5));
		const result = await owners.run('ledger');
		t.equal(result.match(() => 'ok', ({kind}) => kind), outcome, name);
		const stored = await owners.read('ledger');
		t.equal(stored._unsafeUnwrap().version, version, `${name}: writes`);
	}

	const platform = new LossyPlatform();
	const racing = await Promise.all(['p1', 'p2'].map(async proxy => assigner(platform, fleet(5), proxy).run('ledger')));
	t.same(racing[0]!._unsafeUnwrap(), racing[1]!._unsafeUnwrap(), 'two proxies at once end with one record');
	t.equal(racing[0]!._unsafeUnwrap().version, 1);
	const empty = await assigner(platform, [memberOf(0, {state: 'dead'})]).run('ledger');
	t.equal(empty._unsafeUnwrapErr().kind, 'no-candidates');
});

// Guards against exceeding the connection cap of an instance, and against proxies that own far more databases than others.
test('connection budget and balance', t => {
	for (const [cap, sessions] of [[35, 9], [30, 8]] as const) {
		t.equal(statementConnectionsPerSeat(cap), sessions);
		t.ok(seatsPerDatabase * (sessions + reservedConnectionsPerSeat) <= cap, `cap ${cap}`);
	}

	const members = fleet(100);
	const counts = new Map<string, number>();
	for (let database = 0; database < 12_000; database += 1) {
		for (const {hostId} of rankByRendezvous(`db${database}`, members).slice(0, seatsPerDatabase)) {
			counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
		}
	}

	const spread = [...counts.values()].sort((a, b) => a - b);
	t.comment(`seats for each of 100 members, mean 360: least ${spread[0]}, most ${spread.at(-1)}`);
	// Five standard deviations (18.7 each) around the mean.
	t.ok(spread.length === 100 && spread[0]! > 267 && spread.at(-1)! < 453);
	t.end();
});
