import {ManualTimerService} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {test} from 'tap';
import {
	type ChangeBatch, type ChangeFeed, type ChangeFeedError, ChangeFollower, endpointWatchTiming, watchTiming, type WatchTiming,
} from '../../src/index.js';

type TimeRange = {fromMs: number; untilMs: number};
type Answer = Result<ChangeBatch<number>, ChangeFeedError>;

const answerMs = 10;
const callTimeoutMs = 1500;

/** A store that never answers a call that is in progress during the silence or starts before its end. */
class SilentFeed implements ChangeFeed<number> {
	calls = 0;
	#version = 1;
	readonly #changes: number[] = [];
	readonly #pendingWatches = new Set<() => void>();

	constructor(private readonly timers: ManualTimerService, private readonly silence: TimeRange) {}

	change(): void {
		this.#version += 1;
		this.#changes.push(this.#version);
		for (const resolve of this.#pendingWatches) {
			resolve();
		}
	}

	async list(): Promise<Answer> {
		return this.#call(callTimeoutMs, async () => ({changes: [...this.#changes], version: this.#version, isComplete: true}));
	}

	async watch(version: number, {waitMs, timeoutMs}: WatchTiming): Promise<Answer> {
		return this.#call(timeoutMs, async () => {
			if (this.#version === version) {
				await this.#awaitChange(waitMs);
			}

			return {changes: this.#changes.filter(change => change > version), version: this.#version, isComplete: true};
		});
	}

	async #awaitChange(maxWaitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#pendingWatches.add(resolve);
			this.timers.after(maxWaitMs, resolve);
		});
	}

	async #call(timeoutMs: number, answer: () => Promise<ChangeBatch<number>>): Promise<Answer> {
		this.calls += 1;
		const startedMs = this.timers.nowMs();
		const respond = async (): Promise<Answer> => {
			await this.timers.sleep(answerMs);
			const batch = await answer();
			const isAnswered = startedMs >= this.silence.untilMs || this.timers.nowMs() < this.silence.fromMs;
			if (!isAnswered) {
				await this.timers.sleep(Number.POSITIVE_INFINITY);
			}

			return ok(batch);
		};

		const timeOut = async (): Promise<Answer> => {
			await this.timers.sleep(timeoutMs);
			return err({kind: 'unavailable', message: `no answer within ${timeoutMs} ms`});
		};

		return Promise.race([respond(), timeOut()]);
	}
}

/** Time from a change until the follower has applied it, in ms. */
async function measureDelayMs(silence: TimeRange, changeAtMs: number, boundMs: number): Promise<number> {
	const timers = new ManualTimerService();
	const feed = new SilentFeed(timers, silence);
	let appliedAtMs = Number.POSITIVE_INFINITY;
	const apply = (changes: number[]) => {
		if (changes.length > 0) {
			appliedAtMs = Math.min(appliedAtMs, timers.nowMs());
		}
	};

	const follower = new ChangeFollower({
		part: 'configuration', feed, timing: watchTiming(boundMs), timers, events: {write: () => undefined}, onList: apply, onChanges: apply, onConfirmed: () => undefined,
	});
	void follower.run();
	await timers.advanceAsync(changeAtMs, 10);
	feed.change();
	await timers.advanceAsync(2 * boundMs, 10);
	follower.stop();
	return appliedAtMs - changeAtMs;
}

const boundMs = 3000;
const range = (from: number, to: number, step: number) => Array.from({length: Math.floor((to - from) / step) + 1}, (_, index) => from + (index * step));

// Guards against a bound that holds only for some offsets between an outage of the store and the watch calls: a change
// that the store accepts after an outage must be applied in time, whenever the outage began and however long it lasted.
test('a change after an outage of the store is applied within the bound, whatever the start and length of the outage', async t => {
	const silences = range(3000, 5400, 300).flatMap(fromMs => [0, 700, 1500, 3100, 4300].map(lengthMs => ({fromMs, untilMs: fromMs + lengthMs})));
	const delays = await Promise.all(silences.flatMap(silence => [1, 400, 1300].map(async afterMs => measureDelayMs(silence, silence.untilMs + afterMs, boundMs))));
	t.equal(delays.length, 135);
	const worstMs = Math.max(...delays);
	t.ok(worstMs <= boundMs, `worst ${worstMs} ms`);
});

// Guards against a watch whose timeout alone uses up the bound.
test('watch timing for the bounds of several platforms', t => {
	t.matchSnapshot([1500, 2000, 3000, 5000, 9000].map(bound => ({bound, ...watchTiming(bound)})), 'configuration bounds');
	t.matchSnapshot([3000, 5000, 7000, 12_000].map(bound => ({bound, ...endpointWatchTiming(bound)})), 'drain bounds');
	for (const bound of [1500, 2000, 3000, 5000, 9000]) {
		t.ok(watchTiming(bound).timeoutMs < bound);
		t.ok(endpointWatchTiming(bound).timeoutMs < bound);
	}

	t.end();
});

// Guards against calls in quick succession to a store that does not answer.
test('a follower makes one call per timeout while the store does not answer for a minute', async t => {
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
