import {ManualTimerService} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {test} from 'tap';
import {
	type ChangeBatch, type ChangeFeed, type ChangeFeedError, ChangeFollower, endpointTiming, watchTiming, type WatchTiming,
} from '../../src/index.js';

type Span = {fromMs: number; untilMs: number};
type Answer = Result<ChangeBatch<number>, ChangeFeedError>;

const answerMs = 10;
const callTimeoutMs = 1500;

/** A store that leaves every call without an answer that is open during a span, and new ones too until its end. */
class SilentFeed implements ChangeFeed<number> {
	calls = 0;
	#revision = 1;
	readonly #changes: number[] = [];
	readonly #waiting = new Set<() => void>();

	constructor(private readonly timers: ManualTimerService, private readonly silence: Span) {}

	change(): void {
		this.#revision += 1;
		this.#changes.push(this.#revision);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async list(): Promise<Answer> {
		return this.#call(callTimeoutMs, async () => ({changes: [...this.#changes], revision: this.#revision, isComplete: true}));
	}

	async watch(revision: number, {waitMs, timeoutMs}: WatchTiming): Promise<Answer> {
		return this.#call(timeoutMs, async () => {
			if (this.#revision === revision) {
				await this.#nextChange(waitMs);
			}

			return {changes: this.#changes.filter(change => change > revision), revision: this.#revision, isComplete: true};
		});
	}

	async #nextChange(forMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#waiting.add(resolve);
			this.timers.after(forMs, resolve);
		});
	}

	async #call(timeoutMs: number, answer: () => Promise<ChangeBatch<number>>): Promise<Answer> {
		this.calls += 1;
		const startedMs = this.timers.nowMs();
		const answered = async (): Promise<Answer> => {
			await this.timers.sleep(answerMs);
			const batch = await answer();
			const isHeard = startedMs >= this.silence.untilMs || this.timers.nowMs() < this.silence.fromMs;
			if (!isHeard) {
				await this.timers.sleep(Number.POSITIVE_INFINITY);
			}

			return ok(batch);
		};

		const timedOut = async (): Promise<Answer> => {
			await this.timers.sleep(timeoutMs);
			return err({kind: 'unavailable', message: `no answer within ${timeoutMs} ms`});
		};

		return Promise.race([answered(), timedOut()]);
	}
}

/** Time from a change until the follower has it, in ms. */
async function delayOf(silence: Span, changeAtMs: number, boundMs: number): Promise<number> {
	const timers = new ManualTimerService();
	const feed = new SilentFeed(timers, silence);
	let takenAtMs = Number.POSITIVE_INFINITY;
	const take = (changes: number[]) => {
		if (changes.length > 0) {
			takenAtMs = Math.min(takenAtMs, timers.nowMs());
		}
	};

	const follower = new ChangeFollower({
		part: 'configuration', feed, timing: watchTiming(boundMs), timers, events: {write: () => undefined}, onList: take, onChanges: take, onConfirmed: () => undefined,
	});
	void follower.run();
	await timers.advanceAsync(changeAtMs, 10);
	feed.change();
	await timers.advanceAsync(2 * boundMs, 10);
	follower.stop();
	return takenAtMs - changeAtMs;
}

const boundMs = 3000;
const steps = (from: number, to: number, step: number) => Array.from({length: Math.floor((to - from) / step) + 1}, (_, index) => from + (index * step));

// Guards against a bound that holds only for some phases of an outage against the watches: a change that the store
// takes after a silence must be in force in time whenever the silence began and however long it was.
test('a change after a silent store is taken over within the bound in every phase', async t => {
	const silences = steps(3000, 5400, 300).flatMap(fromMs => [0, 700, 1500, 3100, 4300].map(lengthMs => ({fromMs, untilMs: fromMs + lengthMs})));
	const delays = await Promise.all(silences.flatMap(silence => [1, 400, 1300].map(async afterMs => delayOf(silence, silence.untilMs + afterMs, boundMs))));
	t.equal(delays.length, 135);
	const worstMs = Math.max(...delays);
	t.ok(worstMs <= boundMs, `worst ${worstMs} ms`);
});

// Guards against a watch whose time limit alone uses up the bound.
test('timing of watches for the bounds of several platforms', t => {
	t.matchSnapshot([1500, 2000, 3000, 5000, 9000].map(bound => ({bound, ...watchTiming(bound)})), 'bounds of configurations');
	t.matchSnapshot([3000, 5000, 7000, 12_000].map(bound => ({bound, ...endpointTiming(bound)})), 'drain bounds');
	for (const bound of [1500, 2000, 3000, 5000, 9000]) {
		t.ok(watchTiming(bound).timeoutMs < bound);
		t.ok(endpointTiming(bound).timeoutMs < bound);
	}

	t.end();
});

// Guards against calls to the store in quick succession while it refuses or hears nothing.
test('calls of a follower while the store is silent for a minute', async t => {
	const timers = new ManualTimerService();
	const feed = new SilentFeed(timers, {fromMs: 0, untilMs: 60_000});
	const follower = new ChangeFollower({
		part: 'endpoints', feed, timing: watchTiming(boundMs), timers, events: {write: () => undefined}, onList: () => undefined, onChanges: () => undefined, onConfirmed: () => undefined,
	});
	void follower.run();
	await timers.advanceAsync(60_000, 10);
	follower.stop();
	t.equal(feed.calls, 60_000 / callTimeoutMs);
});
