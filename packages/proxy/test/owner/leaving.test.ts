import {test} from 'tap';
import {TestGroup} from '../fixtures/group.js';
import {
	holdRequest, readRequest, toOutcome, waitUntil,
} from '../fixtures/requests.js';

/** Time within which a leaving instance must get no new requests (property P7 of the design). */
const noNewRequestsMs = 3000;

// An endpoint that its operators take out of service must get no new requests (P7).
const cases: Array<[name: string, member: number, isReportedByMember: boolean, laggingMember?: number]> = [
	['replica, reported by itself', 1, true],
	['replica, listed by the platform', 1, false],
	['primary, reported by itself', 0, true],
	['primary, listed by the platform', 0, false],
	['primary with one replica behind', 0, true, 2],
];

for (const [name, member, isReportedByMember, laggingMember] of cases) {
	test(`leaving: ${name}`, async t => {
		const group = await TestGroup.start(t);
		const listedAsLeaving = new Set<string>();
		const owner = await group.startOwner({isActing: () => true, isListedAsLeaving: memberId => listedAsLeaving.has(memberId)});
		let count = 0;
		const readAndWrite = async () => {
			count += 1;
			const deadlineMs = group.timers.nowMs() + 5000;
			return Promise.all([owner.execute(readRequest('lane_board', ['']), deadlineMs), owner.execute(holdRequest(`b${count}`), deadlineMs)].map(async response => toOutcome(await response)));
		};

		await (laggingMember !== undefined && group.setFaults(laggingMember, {replicationDelayMs: 60_000}));
		await waitUntil(async () => {
			const outcomes = await readAndWrite();
			return outcomes.some(({servedBy}) => servedBy === `m${member}`);
		});
		const startMs = group.timers.nowMs();
		if (isReportedByMember) {
			await group.setFaults(member, {leaving: true});
		} else {
			listedAsLeaving.add(`m${member}`);
		}

		await (member === 0 ? waitUntil(() => ![undefined, 'm0'].includes(owner.state.primary?.member.memberId)) : waitUntil(() => owner.state.isLeaving(owner.state.instances.get(`m${member}`)!)));

		t.ok(group.timers.nowMs() - startMs <= noNewRequestsMs, `within ${noNewRequestsMs} ms`);
		await (laggingMember !== undefined && group.setFaults(laggingMember, {replicationDelayMs: 0}));
		for (let round = 0; round < 20; round += 1) {
			const outcomes = await readAndWrite();
			t.ok(outcomes.every(({servedBy}) => servedBy !== `m${member}`));
			t.ok(outcomes.every(({kind}) => kind === 'done'), outcomes.map(({code}) => code).join(' '));
		}
	});
}
