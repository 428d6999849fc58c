import {test} from 'tap';
import {sessionMemoryLimits, type SessionMemoryBudget} from '../../src/index.js';
import {createSessionMemory} from '../fixtures/session-memory.js';

const mebibyte = 1_048_576;

/** Accounts that hold the given bytes; the idle ones can be ended, and the names of those that were are in `ended`. */
function fill(memory: SessionMemoryBudget, sessions: Record<string, {bytes: number; isIdle?: boolean}>) {
	const ended: string[] = [];
	const accounts = Object.fromEntries(Object.entries(sessions).map(([owner, {bytes, isIdle = false}]) => {
		const account = memory.open({
			owner, endIfIdle() {
				if (isIdle) {
					ended.push(owner);
				}

				return isIdle;
			},
		});
		account.reserve(bytes, owner);
		return [owner, account];
	}));
	return {ended, accounts};
}

// Guards against one session that takes all of the memory, and against a refusal that changes what the session holds.
test('a session over its limit is refused and keeps what it had', t => {
	const {memory, lines} = createSessionMemory({sessionLimitBytes: 1000, processLimitBytes: 100_000});
	const account = memory.open({owner: 'holds'});
	t.ok(account.reserve(1000, 'q1').isOk(), 'the limit itself is allowed');
	t.equal(account.reserve(1, 'q2')._unsafeUnwrapErr(), 'session-limit');
	t.equal(memory.heldBytes, 1000);
	t.match(lines, [{
		event: 'session-memory-refused', requestId: 'q2', owner: 'holds', outcome: 'session-limit', sessionBytes: 1001, sessionLimitBytes: 1000, heldBytes: 1000, processLimitBytes: 100_000,
	}]);
	t.ok(account.reserve(-500, 'q3').isOk(), 'a smaller text may replace a larger one');
	t.ok(account.reserve(500, 'q4').isOk());
	t.end();
});

// Guards against a session that holds little and is refused or ended in place of one that holds much.
test('when the memory of the process is used up, the largest idle sessions are ended', t => {
	const {memory, lines} = createSessionMemory({sessionLimitBytes: 60_000, processLimitBytes: 200_000});
	const {ended, accounts} = fill(memory, {
		busy: {bytes: 60_000}, medium: {bytes: 40_000, isIdle: true}, large: {bytes: 45_000, isIdle: true}, small: {bytes: 4000, isIdle: true},
	});
	const asking = memory.open({owner: 'asking'});
	t.ok(asking.reserve(20_000, 'q1').isOk());
	t.same(ended, ['large'], 'the largest of those that are idle, and no more than needed');
	t.equal(accounts.large!.heldBytes, 0);
	t.match(lines, [{owner: 'large', outcome: 'ended', sessionBytes: 45_000}]);
	t.ok(asking.reserve(10_000, 'q2').isOk());
	t.equal(asking.reserve(25_000, 'q3')._unsafeUnwrapErr(), 'process-limit', 'the one that would hold the most is refused');
	t.same(ended, ['large']);
	t.equal(asking.heldBytes, 30_000);
	t.end();
});

// Guards against large sessions that are never idle and leave nothing to the small ones.
test('a part of the memory is for small sessions', t => {
	const {memory} = createSessionMemory({sessionLimitBytes: 100_000, processLimitBytes: 400_000});
	fill(memory, {
		a: {bytes: 100_000}, b: {bytes: 100_000}, c: {bytes: 100_000}, d: {bytes: 100_000},
	});
	t.equal(memory.heldBytes, 300_000);
	const small = Array.from({length: 20}, (_, index) => memory.open({owner: `small${index}`}).reserve(500, 'q'));
	t.ok(small.every(result => result.isOk()));
	t.equal(memory.open({owner: 'medium'}).reserve(9000, 'q')._unsafeUnwrapErr(), 'process-limit');
	const many = Array.from({length: 2000}, (_, index) => memory.open({owner: `many${index}`}).reserve(500, 'q'));
	t.equal(many.filter(result => result.isOk()).length, 180, 'they have a limit as well');
	t.equal(memory.heldBytes, 400_000);
	t.end();
});

// Guards against a counter that does not return to zero, so that the host refuses more and more.
test('a closed account holds nothing, whatever is released later', t => {
	const {memory} = createSessionMemory();
	const account = memory.open({owner: 'holds'});
	account.reserve(500, 'q1');
	account.close();
	account.release(500);
	t.ok(account.reserve(300, 'q2').isOk());
	account.close();
	t.equal(memory.heldBytes, 0);
	t.end();
});

// Guards against limits that do not fit the memory of the process.
test('the limit of a process is a sixteenth of its memory', t => {
	t.equal(sessionMemoryLimits(248 * mebibyte).processLimitBytes, 15.5 * mebibyte);
	t.equal(sessionMemoryLimits(1024 * mebibyte, 320 * mebibyte).processLimitBytes, 20 * mebibyte);
	t.equal(sessionMemoryLimits(16 * mebibyte).processLimitBytes, 4 * mebibyte);
	t.end();
});

// Guards against counters that operators do not see.
test('the metrics show what is held and refused', async t => {
	const {memory, metrics} = createSessionMemory({sessionLimitBytes: 1000});
	const account = memory.open({owner: 'holds'});
	account.reserve(400, 'q1');
	account.reserve(4000, 'q2');
	const page = await metrics.registry.metrics();
	t.match(page, /^dogwood_session_memory_bytes 400$/m);
	t.match(page, /^dogwood_session_memory_refusals_total{outcome="session-limit"} 1$/m);
});
