import {test, type Test} from 'tap';
import {SimulatedFleet} from './simulated-fleet.js';

type FaultCase = {
	/** Failure that the case guards against. */
	name: string;
	size: number;
	run: (fleet: SimulatedFleet, t: Test) => void;
};

const seed = Number(process.env.SEED ?? 7);

const faultCases: FaultCase[] = [
	{
		name: 'a crash goes unnoticed',
		size: 30,
		run(fleet, t) {
			fleet.crash('host-9');
			const noticedMs = fleet.advanceUntil(() => fleet.views('host-9').dead === 29, 9000);
			t.comment(`noticed by all after ${noticedMs} ms`);
			t.ok(noticedMs < 9000);
			t.equal(fleet.deaths.filter(death => !death.includes(': host-9 ')).length, 0);
		},
	},
	{
		name: 'lost datagrams cause a false death',
		size: 30,
		run(fleet, t) {
			fleet.network.dropProbability = 0.01;
			fleet.timers.advance(600_000);
			t.comment(`false suspicions: ${fleet.count('suspicionsRaised')} in ${30 * 600} probes`);
			t.strictSame(fleet.deaths, []);
			t.ok(fleet.count('suspicionsRaised') < 5);
		},
	},
	{
		name: 'a paused member stays dead, or declares others dead, after it wakes',
		size: 20,
		run(fleet, t) {
			fleet.pause('host-5');
			fleet.timers.advance(20_000);
			t.equal(fleet.views('host-5').dead, 19);
			fleet.resume('host-5');
			t.ok(fleet.advanceUntil(() => fleet.isConverged(), 20_000) < 20_000);
			t.ok(fleet.at(0).membership.get('host-5')!.refutation > 0);
			t.equal(fleet.at(5).membership.counters.deathsDeclared, 0);
		},
	},
	{
		name: 'a restart at the same address is taken for the old process',
		size: 12,
		run(fleet, t) {
			const {transport, timers} = fleet.crash('host-3');
			const oldStart = fleet.at(0).membership.get('host-3')!.startedUnixMs;
			fleet.timers.advance(500);
			const {membership} = fleet.start('host-3', transport.address);
			membership.join([fleet.at(0).transport.address]);
			const allSeeNew = () => [...fleet.members.values()].map(member => member.membership.get('host-3')!)
				.every(member => member.startedUnixMs > oldStart && member.state === 'alive');
			t.ok(fleet.advanceUntil(allSeeNew, 10_000) < 10_000);
			// The old process wakes elsewhere on the network and sends what it had in mind.
			timers.resume();
			fleet.timers.advance(20_000);
			t.ok(allSeeNew());
		},
	},
	{
		name: 'regions that were cut off from each other stay apart, or lose members of their own side when they merge',
		size: 24,
		run(fleet, t) {
			const regions = [0, 1].map(region => [...fleet.members.values()].map(member => member.membership.self()).filter(self => self.region === `region-${region}`));
			fleet.network.cut(regions.map(region => region.map(self => self.gossipAddress)));
			fleet.timers.advance(300_000);
			t.ok(regions[1]!.every(self => fleet.views(self.hostId).dead === 12), 'each side sees the other as dead');
			fleet.deaths.length = 0;
			fleet.network.heal();
			const mergedMs = fleet.advanceUntil(() => fleet.isConverged(), 30_000);
			t.comment(`merged after ${mergedMs} ms`);
			t.ok(mergedMs < 30_000);
			t.strictSame(fleet.deaths.filter(death => death.endsWith('dead')), []);
		},
	},
	{
		name: 'a leaving member is seen late or as crashed',
		size: 20,
		run(fleet, t) {
			fleet.at(4).membership.announceLeaving();
			t.ok(fleet.advanceUntil(() => fleet.views('host-4').leaving === 20, 8000) < 8000);
			fleet.at(4).membership.stop();
			t.ok(fleet.advanceUntil(() => fleet.views('host-4').dead === 20, 8000) < 8000);
			t.equal(fleet.count('suspicionsRaised'), 0);
		},
	},
	{
		name: 'a fleet that restarts at once does not form again',
		size: 20,
		run(fleet, t) {
			const hostIds = [...fleet.members.keys()];
			for (const hostId of hostIds) {
				const {transport} = fleet.crash(hostId);
				fleet.timers.advance(10);
				fleet.start(hostId, transport.address);
			}

			fleet.joinAll();
			t.ok(fleet.advanceUntil(() => fleet.isConverged(), 15_000) < 15_000);
		},
	},
	{
		name: 'members that start at once through the same seeds miss each other, and one that joins later misses some',
		size: 100,
		run(fleet, t) {
			fleet.start('late').membership.join([fleet.at(5).transport.address]);
			const joinedMs = fleet.advanceUntil(() => fleet.isConverged(), 60_000);
			t.comment(`known to all after ${joinedMs} ms`);
			t.ok(joinedMs < 3000);
		},
	},
	{
		name: 'dead members stay in the table for ever',
		size: 10,
		run(fleet, t) {
			fleet.crash('host-9');
			fleet.timers.advance(3_700_000);
			t.strictSame(fleet.views('host-9'), {unknown: 9});
		},
	},
	{
		name: 'a bad datagram stops a member or changes its table',
		size: 3,
		run(fleet, t) {
			const sender = fleet.network.create('10.9.9.9:1');
			const before = JSON.stringify(fleet.at(0).membership.members());
			for (const payload of [new Uint8Array(0), new Uint8Array([255, 255, 255]), new Uint8Array(1200)]) {
				sender.send(fleet.at(0).transport.address, payload);
			}

			fleet.timers.advance(10);
			t.equal(fleet.at(0).membership.counters.badDatagrams, 3);
			t.equal(JSON.stringify(fleet.at(0).membership.members()), before);
		},
	},
];

for (const {name, size, run} of faultCases) {
	test(`guards against: ${name}`, t => {
		t.comment(`SEED=${seed}`);
		const fleet = new SimulatedFleet(seed);
		fleet.startAll(size);
		t.ok(fleet.isConverged(), 'all members know each other');
		t.strictSame(fleet.deaths, []);
		run(fleet, t);
		t.end();
	});
}
