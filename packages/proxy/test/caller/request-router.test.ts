import {
	ManualTimerService, type MembershipView, RetryBudget,
} from '@dogwoodthread/coordination';
import {type ExecuteResponse, type TransactRequest} from '@dogwoodthread/protocol';
import {err, ok} from 'neverthrow';
import {test} from 'tap';
import {RequestRouter} from '../../src/caller/index.js';
import {type DatabaseDirectory} from '../../src/directory/index.js';
import {done, notRun, unknown} from '../../src/outcome/index.js';
import {type ForwardResult, type PeerLinks} from '../../src/peer/index.js';
import {
	hold, type Outcome, read, TestTransaction, toOutcome,
} from '../fixtures/requests.js';

const answered = (response: Parameters<typeof toOutcome>[0]): ForwardResult => ({kind: 'answered', response});
const doneAnswer = answered(done({
	rows: [], sessionToken: '', repeated: false, servedBy: 'm0', byReplica: false, ageBoundMs: 0,
}));
const lost: ForwardResult = {kind: 'lost'};
const notSent: ForwardResult = {kind: 'not-sent'};
const notActing: ForwardResult = {kind: 'not-acting'};
const refused = answered(notRun('overloaded', 'The request did not run.', 100));

type RouterCase = {
	name: string; write: boolean; results: ForwardResult[]; expected: Partial<Outcome>; sent: number;
	/** Forwards after which no owner is known any more. */
	ownerKnown?: number;
};

// Guards against a write that is sent twice or answered "not run" after it may have run, and against a read
// that may have run and is answered "not run" (P5).
const cases: RouterCase[] = [
	{
		name: 'a write on a cut stream', write: true, results: [lost, doneAnswer], expected: {kind: 'unknown', code: 'owner-lost'}, sent: 1,
	},
	{
		name: 'a write that was never sent', write: true, results: [notSent, doneAnswer], expected: {kind: 'done'}, sent: 2,
	},
	{
		name: 'a write at a proxy that does not act', write: true, results: [notActing, doneAnswer], expected: {kind: 'done'}, sent: 2,
	},
	{
		name: 'a write that no proxy takes', write: true, results: [notActing, notSent, notSent, notSent, doneAnswer],
		expected: {kind: 'notRun', code: 'owner-unreachable'}, sent: 4,
	},
	{
		name: 'a write whose outcome the owner does not know', write: true, results: [answered(unknown('connection-lost', undefined)), doneAnswer], expected: {kind: 'unknown', code: 'connection-lost'}, sent: 1,
	},
	{
		name: 'a write that the owner refused', write: true, results: [refused, doneAnswer], expected: {kind: 'notRun', code: 'overloaded'}, sent: 1,
	},
	{
		name: 'a read on a cut stream', write: false, results: [lost, doneAnswer], expected: {kind: 'done'}, sent: 2,
	},
	{
		name: 'a read on a cut stream, then refused', write: false, results: [lost, refused], expected: {kind: 'unknown', code: 'owner-lost'}, sent: 2,
	},
	{
		name: 'a read on a cut stream, then never sent', write: false, results: [lost, notSent, notSent, notSent], expected: {kind: 'unknown', code: 'owner-lost'}, sent: 4,
	},
	{
		name: 'a read on a cut stream, then no owner', write: false, results: [lost], ownerKnown: 1, expected: {kind: 'unknown', code: 'owner-lost'}, sent: 1,
	},
];

const createRouter = (timers: ManualTimerService, links: unknown, isOwnerKnown: () => boolean): RequestRouter => {
	const seat = {
		rank: 0, generation: 1, hostId: 'owner', startedUnixMs: 0, peerAddress: '127.0.0.1:1', failureDomain: 'fd1',
	};
	const directory: unknown = {
		findActing: async () => isOwnerKnown() ? ok({seat}) : err({kind: 'no-acting-owner', message: 'No owner is live.'}),
		passOver() {/* not looked at */},
		async refresh() {/* not looked at */},
	};
	const membership: unknown = {self: () => ({hostId: 'entry'})};
	return new RequestRouter({
		directory: directory as DatabaseDirectory,
		owners: undefined as never,
		links: links as PeerLinks,
		membership: membership as MembershipView,
		retryBudget: new RetryBudget({ratio: 0.1, burst: 10}),
		timers,
		random: () => 0,
	});
};

for (const {name, write, results, ownerKnown = 10, expected, sent} of cases) {
	test(`router: ${name}`, async t => {
		const timers = new ManualTimerService();
		let forwards = 0;
		const router = createRouter(timers, {forward: async () => results[forwards++]!}, () => forwards < ownerKnown);
		const answer = router.execute(write ? hold('a') : read('get_booking', ['a']));
		await timers.advanceAsync(200, 5);
		t.match(toOutcome(await answer), expected);
		t.equal(forwards, sent);
	});
}

// Guards against a transaction that ends without an outcome when the proxy that runs it is lost (P3, P5).
for (const [step, expected] of Object.entries({
	begin: {kind: 'notRun', code: 'owner-unreachable', ended: true},
	execute: {kind: 'notRun', code: 'transaction-ended', ended: true},
	commit: {kind: 'unknown', code: 'owner-lost', ended: true},
})) {
	test(`router: the owner is lost at ${step} of a transaction`, async t => {
		const links = {
			async * transact(_address: string, steps: AsyncIterable<TransactRequest>) {
				for await (const request of steps) {
					if (request.step.case === step) {
						throw new Error('The stream was cut.');
					}

					yield {response: (doneAnswer as {response: ExecuteResponse}).response, ended: false};
				}
			},
		};
		const router = createRouter(new ManualTimerService(), links, () => true);
		const transaction = new TestTransaction(steps => router.transact('ledger', steps));
		const answers = [await transaction.begin(), await transaction.hold('a'), await transaction.commit('key')];
		t.match(answers.find(answer => answer?.ended), expected);
	});
}
