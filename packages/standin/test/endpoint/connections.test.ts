import {test} from 'tap';
import {startGroup, type HelloFields, TestSession} from './fixtures/group.js';

/** Name; open connections; the next one; places of the open ones that it closes; code of its refusal. */
type ConnectionCase = [name: string, open: HelloFields[], next: HelloFields, closes: number[], code?: string];

const connectionCases: ConnectionCase[] = [
	['other index', [{index: 0}], {index: 1}, []],
	['same index', [{index: 0}, {index: 1}], {index: 0}, [0]],
	['same index of another rank', [{index: 0}], {rank: 1, index: 0}, []],
	['higher generation', [{index: 0}, {index: 1}, {rank: 1, index: 0}], {generation: 2n, index: 5}, [0, 1]],
	['lower generation', [{generation: 2n, index: 0}], {index: 1}, [], 'stale-generation'],
	['over the cap', [{index: 0}, {index: 1}, {index: 2}], {index: 3}, [], 'too-many-connections'],
	['at the cap, replacing', [{index: 0}, {index: 1}, {index: 2}], {index: 2}, [2]],
];

// Guards against a rank that holds more connections than its budget, and against a replaced owner that keeps working.
test('rank, generation, index and cap decide on a connection', async t => {
	for (const [name, open, next, closes, code] of connectionCases) {
		const [m0] = await startGroup(t, 1, {maxConnections: 3});
		const sessions = [];
		for (const hello of open) {
			sessions.push(await m0!.session(hello));
		}

		const session = new TestSession(m0!.client);
		const {response} = await session.hello(next);
		t.equal(response.case === 'refused' ? response.value.code : undefined, code, name);
		await (code && t.rejects(session.next(), `${name}: the refused stream ends`));
		const answers = await Promise.allSettled(sessions.map(async earlier => earlier.read('get_booking', 'b1')));
		t.strictSame(answers.flatMap(({status}, index) => status === 'rejected' ? [index] : []), closes, `${name}: closed`);
		const {connections, maxConnectionsSeen} = await m0!.stats();
		t.equal(connections, open.length - closes.length + (code ? 0 : 1), `${name}: count`);
		t.ok(maxConnectionsSeen <= 3, `${name}: maximum`);
	}
});

// Guards against monitors that are left out of the cap.
test('monitors count as connections', async t => {
	const [m0] = await startGroup(t, 1, {maxConnections: 2});
	await m0!.session();
	const {connections} = await m0!.monitor().status(() => true);
	t.equal(connections, 2);
	await t.rejects(m0!.monitor({index: 1001}).status(() => true), {message: 'too-many-connections'});
	await t.rejects(m0!.monitor({generation: 0n}).status(() => true), {message: 'stale-generation'});
});

// Guards against an instance that runs more statements than it has slots, which would hide queueing from the proxies.
test('statements share the slots in order of arrival', async t => {
	const [m0] = await startGroup(t, 1, {slots: 2, serviceMs: {get_booking: 20}});
	const sessions = await Promise.all([0, 1, 2, 3, 4, 5].map(async index => m0!.session({index})));
	const startedMs = performance.now();
	await Promise.all(sessions.map(async session => session.read('get_booking', 'b1')));
	t.ok(performance.now() - startedMs >= 59, 'three rounds of two');
});
