import {test} from 'tap';
import {TestGroup} from '../fixtures/group.js';
import {
	hold, read, toOutcome, until,
} from '../fixtures/requests.js';

/** Bound of the design for P7. */
const noNewWorkMs = 3000;

// Guards against new work for an endpoint that its operators take away (P7).
const cases: Array<[name: string, member: number, byOwnWord: boolean, lagging?: number]> = [
	['replica, by its own word', 1, true],
	['replica, by the platform\'s list', 1, false],
	['primary, by its own word', 0, true],
	['primary, by the platform\'s list', 0, false],
	['primary with one replica behind', 0, true, 2],
];

for (const [name, member, byOwnWord, lagging] of cases) {
	test(`leaving: ${name}`, async t => {
		const group = await TestGroup.start(t);
		const listed = new Set<string>();
		const owner = await group.own({isActing: () => true, isListedAsLeaving: memberId => listed.has(memberId)});
		let count = 0;
		const both = async () => {
			count += 1;
			const deadlineMs = group.timers.nowMs() + 5000;
			return Promise.all([owner.execute(read('lane_board', ['']), deadlineMs), owner.execute(hold(`b${count}`), deadlineMs)].map(async answer => toOutcome(await answer)));
		};

		await (lagging !== undefined && group.faults(lagging, {replicationDelayMs: 60_000}));
		await until(async () => {
			const outcomes = await both();
			return outcomes.some(({servedBy}) => servedBy === `m${member}`);
		});
		const startMs = group.timers.nowMs();
		if (byOwnWord) {
			await group.faults(member, {leaving: true});
		} else {
			listed.add(`m${member}`);
		}

		await (member === 0 ? until(() => ![undefined, 'm0'].includes(owner.state.primary?.member.memberId)) : until(() => owner.state.isLeaving(owner.state.instances.get(`m${member}`)!)));

		t.ok(group.timers.nowMs() - startMs <= noNewWorkMs, `within ${noNewWorkMs} ms`);
		await (lagging !== undefined && group.faults(lagging, {replicationDelayMs: 0}));
		for (let round = 0; round < 20; round += 1) {
			const outcomes = await both();
			t.ok(outcomes.every(({servedBy}) => servedBy !== `m${member}`));
			t.ok(outcomes.every(({kind}) => kind === 'done'), outcomes.map(({code}) => code).join(' '));
		}
	});
}
