import {
	ManualTimerService, type MembershipView, RetryBudget,
} from '@dogwoodthread/coordination';
import {type ExecuteRequest, type ExecuteResponse, type TransactRequest} from '@dogwoodthread/protocol';
import {err, ok} from 'neverthrow';
import {test} from 'tap';
import {RequestRouter} from '../../src/caller/index.js';
import {type DatabaseDirectory} from '../../src/directory/index.js';
import {done, notRun, unknown} from '../../src/outcome/index.js';
import {type ForwardResult, type RequestForwarder} from '../../src/peer/index.js';
import {
	holdRequest, type Outcome, readRequest, TestTransaction, toOutcome,
} from '../fixtures/requests.js';

const answered = (response: Parameters<typeof toOutcome>[0]): ForwardResult => ({kind: 'answered', response});
const doneResult = answered(done({
	rows: [], sessionToken: '', repeated: false, servedBy: 'm0', byReplica: false, ageBoundMs: 0,
}));
const lost: ForwardResult = {kind: 'lost'};
const notSent: ForwardResult = {kind: 'not-sent'};
const notActing: ForwardResult = {kind: 'not-acting'};
const refused = answered(notRun('overloaded', 'The request did not run.', 100));

type RouterCase = [name: string, request: ExecuteRequest, results: ForwardResult[], expected: Partial<Outcome>, expectedForwards: number, forwardsWithKnownOwner?: number];

const write = holdRequest('a');
const bookingRead = readRequest('get_booking', ['a']);
const unknownAtOwner = answered(unknown('connection-lost', undefined));

// Guards against a write that is sent twice or answered "not run" after it may have run, and against a read
// that may have run and is answered "not run" (P5).
const cases: RouterCase[] = [
	['a write on a cut stream', write, [lost, doneResult], {kind: 'unknown', code: 'owner-lost'}, 1],
	['a write that was never sent', write, [notSent, doneResult], {kind: 'done'}, 2],
	['a write at a proxy that does not act', write, [notActing, doneResult], {kind: 'done'}, 2],
	['a write that no proxy takes', write, [notActing, notSent, notSent, notSent, doneResult], {kind: 'notRun', code: 'owner-unreachable'}, 4],
	['a write whose outcome the owner does not know', write, [unknownAtOwner, doneResult], {kind: 'unknown', code: 'connection-lost'}, 1],
	['a write that the owner refused', write, [refused, doneResult], {kind: 'notRun', code: 'overloaded'}, 1],
	['a read on a cut stream', bookingRead, [lost, doneResult], {kind: 'done'}, 2],
	['a read on a cut stream, then refused', bookingRead, [lost, refused], {kind: 'unknown', code: 'owner-lost'}, 2],
	['a read on a cut stream, then never sent', bookingRead, [lost, notSent, notSent, notSent], {kind: 'unknown', code: 'owner-lost'}, 4],
	['a read on a cut stream, then no owner', bookingRead, [lost], {kind: 'unknown', code: 'owner-lost'}, 1, 1],
];

const createRouter = (timers: ManualTimerService, forwarder: unknown, isOwnerKnown: () => boolean): RequestRouter => {
	const seat = {
		rank: 0, generation: 1, hostId: 'owner', startedUnixMs: 0, peerAddress: '127.0.0.1:1', failureDomain: 'fd1',
	};
	const directory: unknown = {
		findActingOwner: async () => isOwnerKnown() ? ok({seat}) : err({kind: 'no-acting-owner', message: 'No owner is live.'}),
		avoidTemporarily() {/* not used by these tests */},
		async refresh() {/* not used by these tests */},
	};
	const membership: unknown = {self: () => ({hostId: 'entry'})};
	return new RequestRouter({
		directory: directory as DatabaseDirectory,
		owners: undefined as never,
		forwarder: forwarder as RequestForwarder,
		membership: membership as MembershipView,
		retryBudget: new RetryBudget({ratio: 0.1, burst: 10}),
		timers,
		random: () => 0,
	});
};

for (const [name, request, results, expected, expectedForwards, forwardsWithKnownOwner = 10] of cases) {
	test(`router: ${name}`, async t => {
		const timers = new ManualTimerService();
		let forwards = 0;
		const router = createRouter(timers, {forward: async () => results[forwards++]!}, () => forwards < forwardsWithKnownOwner);
		const pendingResponse = router.execute(request);
		await timers.advanceAsync(200, 5);
		t.match(toOutcome(await pendingResponse), expected);
		t.equal(forwards, expectedForwards);
	});
}

// Guards against a transaction that ends without an outcome when the proxy that runs it is lost (P3, P5).
for (const [step, expected] of Object.entries({
	begin: {kind: 'notRun', code: 'owner-unreachable', ended: true},
	execute: {kind: 'notRun', code: 'transaction-ended', ended: true},
	commit: {kind: 'unknown', code: 'owner-lost', ended: true},
})) {
	test(`router: the owner is lost at ${step} of a transaction`, async t => {
		const forwarder = {
			async * transact(_address: string, steps: AsyncIterable<TransactRequest>) {
				for await (const request of steps) {
					if (request.step.case === step) {
						throw new Error('The stream was cut.');
					}

					yield {response: (doneResult as {response: ExecuteResponse}).response, ended: false};
				}
			},
		};
		const router = createRouter(new ManualTimerService(), forwarder, () => true);
		const transaction = new TestTransaction(steps => router.transact('ledger', steps));
		const answers = [await transaction.begin(), await transaction.holdLane('a'), await transaction.commit('key')];
		t.match(answers.find(answer => answer?.ended), expected);
	});
}
