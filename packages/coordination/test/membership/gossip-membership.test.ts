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
		name: 'a crash is not detected in time',
		size: 30,
		run(fleet, t) {
			fleet.crash('host-9');
			const detectedMs = fleet.advanceUntil(() => fleet.countStatesOf('host-9').dead === 29, 9000);
			t.comment(`detected by all members after ${detectedMs} ms`);
			t.ok(detectedMs < 9000);
			t.equal(fleet.deathChanges.filter(death => !death.includes(': host-9 ')).length, 0);
		},
	},
	{
		name: 'lost datagrams cause a false death',
		size: 30,
		run(fleet, t) {
			fleet.network.dropProbability = 0.01;
			fleet.timers.advance(600_000);
			t.comment(`false suspicions: ${fleet.sumCounter('suspicionsRaised')} in ${30 * 600} probes`);
			t.strictSame(fleet.deathChanges, []);
			t.ok(fleet.sumCounter('suspicionsRaised') < 5);
		},
	},
	{
		name: 'a paused member stays dead, or declares others dead, after it resumes',
		size: 20,
		run(fleet, t) {
			fleet.pause('host-5');
			fleet.timers.advance(20_000);
			t.equal(fleet.countStatesOf('host-5').dead, 19);
			fleet.resume('host-5');
			t.ok(fleet.advanceUntil(() => fleet.isConverged(), 20_000) < 20_000);
			t.ok(fleet.memberAt(0).membership.get('host-5')!.refutation > 0);
			t.equal(fleet.memberAt(5).membership.counters.deathsDeclared, 0);
		},
	},
	{
		name: 'a process restarted at the same address is mistaken for its predecessor',
		size: 12,
		run(fleet, t) {
			const {transport, timers} = fleet.crash('host-3');
			const oldStart = fleet.memberAt(0).membership.get('host-3')!.startedUnixMs;
			fleet.timers.advance(500);
			const {membership} = fleet.start('host-3', transport.address);
			membership.join([fleet.memberAt(0).transport.address]);
			const allSeeNew = () => [...fleet.members.values()].map(member => member.membership.get('host-3')!)
				.every(member => member.startedUnixMs > oldStart && member.state === 'alive');
			t.ok(fleet.advanceUntil(allSeeNew, 10_000) < 10_000);
			// The old process resumes and sends the datagrams of its overdue timers.
			timers.resume();
			fleet.timers.advance(20_000);
			t.ok(allSeeNew());
		},
	},
	{
		name: 'partitioned regions do not merge again, or declare members of their own side dead during the merge',
		size: 24,
		run(fleet, t) {
			const regions = [0, 1].map(region => [...fleet.members.values()].map(member => member.membership.self()).filter(self => self.region === `region-${region}`));
			fleet.network.partition(regions.map(region => region.map(self => self.gossipAddress)));
			fleet.timers.advance(300_000);
			t.ok(regions[1]!.every(self => fleet.countStatesOf(self.hostId).dead === 12), 'each side sees the other as dead');
			fleet.deathChanges.length = 0;
			fleet.network.heal();
			const mergedMs = fleet.advanceUntil(() => fleet.isConverged(), 30_000);
			t.comment(`merged after ${mergedMs} ms`);
			t.ok(mergedMs < 30_000);
			t.strictSame(fleet.deathChanges.filter(death => death.endsWith('dead')), []);
		},
	},
	{
		name: 'a graceful departure is detected late or as a crash',
		size: 20,
		run(fleet, t) {
			fleet.memberAt(4).membership.announceLeaving();
			t.ok(fleet.advanceUntil(() => fleet.countStatesOf('host-4').leaving === 20, 8000) < 8000);
			fleet.memberAt(4).membership.stop();
			t.ok(fleet.advanceUntil(() => fleet.countStatesOf('host-4').dead === 20, 8000) < 8000);
			t.equal(fleet.sumCounter('suspicionsRaised'), 0);
		},
	},
	{
		name: 'a fleet whose members all restart at once does not form again',
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
		name: 'members that start at once through the same seeds do not discover each other, or a later one does not discover all',
		size: 100,
		run(fleet, t) {
			fleet.start('late').membership.join([fleet.memberAt(5).transport.address]);
			const joinedMs = fleet.advanceUntil(() => fleet.isConverged(), 60_000);
			t.comment(`known to all members after ${joinedMs} ms`);
			t.ok(joinedMs < 3000);
		},
	},
	{
		name: 'dead members are never removed from the table',
		size: 10,
		run(fleet, t) {
			fleet.crash('host-9');
			fleet.timers.advance(3_700_000);
			t.strictSame(fleet.countStatesOf('host-9'), {unknown: 9});
		},
	},
	{
		name: 'an invalid datagram stops a member or changes its table',
		size: 3,
		run(fleet, t) {
			const sender = fleet.network.create('10.9.9.9:1');
			const before = JSON.stringify(fleet.memberAt(0).membership.members());
			for (const payload of [new Uint8Array(0), new Uint8Array([255, 255, 255]), new Uint8Array(1200)]) {
				sender.send(fleet.memberAt(0).transport.address, payload);
			}

			fleet.timers.advance(10);
			t.equal(fleet.memberAt(0).membership.counters.invalidDatagrams, 3);
			t.equal(JSON.stringify(fleet.memberAt(0).membership.members()), before);
		},
	},
];

for (const {name, size, run} of faultCases) {
	test(`guards against: ${name}`, t => {
		t.comment(`SEED=${seed}`);
		const fleet = new SimulatedFleet(seed);
		fleet.startAll(size);
		t.ok(fleet.isConverged(), 'all members know each other');
		t.strictSame(fleet.deathChanges, []);
		run(fleet, t);
		t.end();
	});
}
