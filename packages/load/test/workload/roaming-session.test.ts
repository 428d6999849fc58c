import {ManualTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {
	HistoryRecorder, RoamingSession, SeededRandom, SessionPlan, type CallAnswer, type CallRequest, type CallerClient, type SessionStep,
} from '../../src/index.js';

const done: CallAnswer = {
	outcome: 'done', rows: [], sessionToken: 'token-1', isRepeated: false, servedBy: 'm1', isByReplica: false, ageBoundMs: 0,
};
const notRun: CallAnswer = {outcome: 'not-run', code: 'overloaded', retryAfterMs: 200};
const refused: CallAnswer = {outcome: 'not-run', code: 'key-expired', retryAfterMs: 0};
const unknown: CallAnswer = {
	outcome: 'unknown', code: 'timeout', retryAfterMs: 0, isCut: false,
};

/** Answers from a list and keeps what was asked. */
class ScriptedClient implements CallerClient {
	readonly calls: Array<CallRequest & {proxy: string; atMs: number}> = [];
	readonly #answers: CallAnswer[];
	readonly #timers: ManualTimerService;

	constructor(answers: CallAnswer[], timers: ManualTimerService) {
		this.#answers = [...answers];
		this.#timers = timers;
	}

	async execute(proxy: string, request: CallRequest): Promise<CallAnswer> {
		this.calls.push({...request, proxy, atMs: this.#timers.nowMs()});
		return this.#answers.shift() ?? done;
	}

	close(): void {
		this.#answers.length = 0;
	}
}

const step: SessionStep = {
	statement: 'pay_deposit', parameters: ['p1', 'b1', 5], access: 'write', workClass: 'critical',
};

const perform = async (answers: CallAnswer[], steps: SessionStep[] = [step]) => {
	const timers = new ManualTimerService();
	const client = new ScriptedClient(answers, timers);
	const session = new RoamingSession({
		sessionId: 's1',
		database: 'ledger',
		client,
		directory: {readyProxies: () => ['a', 'b', 'c']},
		recorder: new HistoryRecorder(),
		timers,
		random: new SeededRandom(1),
		timeoutMs: 1000,
		stepTimeoutMs: 10_000,
		repeatsRefused: true,
	});
	const clock = setInterval(() => {
		timers.advance(10);
	}, 0);
	const results = [];
	for (const each of steps) {
		results.push(await session.perform(each));
	}

	clearInterval(clock);
	return {results, calls: client.calls};
};

const keysOf = (calls: CallRequest[]) => calls.map(({requestKey}) => requestKey?.key);

// Guards against a repeat under a new key, which would double the payment.
test('an unknown outcome is repeated with the same key, also after a refusal', async t => {
	const {results, calls} = await perform([unknown, notRun, done]);
	t.same(keysOf(calls), ['s1-1', 's1-1', 's1-1']);
	t.same(results, [done]);
});

// Guards against a key shared with a refused attempt, which would hide a false "not run".
test('a write that did not run gets a new key and waits for the retry-after', async t => {
	const {calls} = await perform([notRun, done]);
	t.same(keysOf(calls), ['s1-1', 's1-2']);
	t.ok((calls[1]?.atMs ?? 0) - (calls[0]?.atMs ?? 0) >= 200);
});

// Guards against endless repeats of requests that a repeat will not help, or of lost groups.
test('a session gives up on a final refusal and when its time is over', async t => {
	const final = await perform([refused]);
	t.same(final.results, [refused]);
	const lost = await perform(Array.from({length: 1000}, () => unknown));
	t.same(lost.results, [undefined]);
});

// Guards against a load that never leaves its first proxy and so never tests session consistency.
test('each request goes to another proxy and carries the last token', async t => {
	const {calls} = await perform([], Array.from({length: 20}, () => step));
	t.ok(calls.slice(1).every(({proxy}, index) => proxy !== calls[index]?.proxy));
	t.same([...new Set(calls.map(({sessionToken}) => sessionToken))], ['', 'token-1']);
});

// Guards against runs that cannot be repeated by their seed, and writes that no read checks.
test('a plan is the same for the same seed and reads each write back', t => {
	const stepsOf = (seed: number) => {
		const plan = new SessionPlan('s1', new SeededRandom(seed));
		return Array.from({length: 50}, () => {
			const next = plan.next();
			plan.acknowledge(next);
			return next;
		});
	};

	const steps = stepsOf(7);
	t.same(steps, stepsOf(7));
	t.notSame(steps, stepsOf(8));
	t.ok(steps.every(({access}, index) => access === 'read' || (steps[index + 1]?.access ?? 'read') === 'read'));
	t.end();
});
