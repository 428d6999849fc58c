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

/** Returns scripted answers in order, then `done`, and records the requests. */
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
		shouldRetryRefused: true,
	});
	const clockTimer = setInterval(() => {
		timers.advance(10);
	}, 0);
	const results = [];
	for (const nextStep of steps) {
		results.push(await session.perform(nextStep));
	}

	clearInterval(clockTimer);
	return {results, calls: client.calls};
};

const requestKeysOf = (calls: CallRequest[]) => calls.map(({requestKey}) => requestKey?.key);

// Guards against a retry with a new key, which could execute the payment twice.
test('an unknown outcome is retried with the same key, also after a refusal', async t => {
	const {results, calls} = await perform([unknown, notRun, done]);
	t.same(requestKeysOf(calls), ['s1-1', 's1-1', 's1-1']);
	t.same(results, [done]);
});

// Guards against reusing the key of a refused attempt, which would hide a false "not run".
test('a write that did not run gets a new key and waits for the retry-after', async t => {
	const {calls} = await perform([notRun, done]);
	t.same(requestKeysOf(calls), ['s1-1', 's1-2']);
	t.ok((calls[1]?.atMs ?? 0) - (calls[0]?.atMs ?? 0) >= 200);
});

// Guards against endless retries of requests that cannot succeed and of requests to groups that are lost.
test('a session stops retrying after a final refusal and at the time limit of the step', async t => {
	const final = await perform([refused]);
	t.same(final.results, [refused]);
	const lost = await perform(Array.from({length: 1000}, () => unknown));
	t.same(lost.results, [undefined]);
});

// Guards against a load that stays at its first proxy and therefore never tests session consistency.
test('each request goes to another proxy and carries the last token', async t => {
	const {calls} = await perform([], Array.from({length: 20}, () => step));
	t.ok(calls.slice(1).every(({proxy}, index) => proxy !== calls[index]?.proxy));
	t.same([...new Set(calls.map(({sessionToken}) => sessionToken))], ['', 'token-1']);
});

// Guards against runs that their seed does not reproduce, and against writes that no read checks.
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
