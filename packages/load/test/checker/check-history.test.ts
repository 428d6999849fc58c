import {test} from 'tap';
import {
	checkHistory, type CheckReport, type GroupTruth, type HistoryEntry, type JsonRow, type LoggedEntry,
} from '../../src/index.js';

const database = 'ledger';
const held = {
	bookingId: 'b1', lane: 'hall01/b1', slot: '18:00', caller: 's1', note: '', state: 'active',
};
const amended = {...held, note: 'towels'};
const cancelled = {...amended, state: 'cancelled'};
const payment = {paymentId: 'p1', bookingId: 'b1', amountCents: 500};

let nextId = 0;
const entry = (overrides: Partial<HistoryEntry>): HistoryEntry => {
	nextId += 1;
	return {
		id: nextId,
		sessionId: 's1',
		database,
		access: 'write',
		statement: 'hold_lane',
		parameters: ['b1', 'hall01/b1', '18:00', 's1'],
		proxy: 'p',
		invokeMs: nextId * 10,
		returnMs: (nextId * 10) + 5,
		outcome: 'done',
		rows: [],
		...overrides,
	};
};

const hold = (overrides: Partial<HistoryEntry> = {}) => entry({requestKey: 'k1', ...overrides});
const amend = (overrides: Partial<HistoryEntry> = {}) => entry({
	requestKey: 'k2', statement: 'amend_booking', parameters: ['b1', 'towels'], ...overrides,
});
const pay = (overrides: Partial<HistoryEntry> = {}) => entry({
	requestKey: 'k3', statement: 'pay_deposit', parameters: ['p1', 'b1', 500], ...overrides,
});
const read = (rows: JsonRow[], overrides: Partial<HistoryEntry> = {}) => entry({
	access: 'read', statement: 'get_booking', parameters: ['b1'], rows, isByReplica: true, ...overrides,
});
const board = (rows: JsonRow[]) => read(rows, {statement: 'lane_board', parameters: ['hall01/']});
const payments = (rows: JsonRow[]) => read(rows, {statement: 'list_payments'});

const logged = (requestKey: string, table: 'bookings' | 'payments', row: JsonRow): LoggedEntry => {
	nextId += 1;
	return {
		term: 1, index: nextId, requestKeys: [requestKey], changes: [{table, rowId: String(table === 'bookings' ? row.bookingId : row.paymentId), row}],
	};
};

const loggedHold = logged('k1', 'bookings', held);
const loggedAmend = logged('k2', 'bookings', amended);
const loggedCancel = logged('k4', 'bookings', cancelled);
const loggedPay = logged('k3', 'payments', payment);

const truth = (entries: LoggedEntry[], overrides: Partial<GroupTruth> = {}): GroupTruth => {
	const rows = {bookings: new Map<string, JsonRow>(), payments: new Map<string, JsonRow>()};
	for (const {table, rowId, row} of entries.flatMap(({changes}) => changes)) {
		rows[table].set(rowId, row ?? {});
	}

	return {
		database, entries, bookings: [...rows.bookings.values()], payments: [...rows.payments.values()], maxConnectionsSeen: {m1: 35}, ...overrides,
	};
};

type Case = {name: string; history: HistoryEntry[]; truth: GroupTruth; expected: Partial<CheckReport>};

const cases: Case[] = [
	{
		name: 'a history without harm',
		history: [hold(), read([held]), amend(), read([amended]), pay(), payments([payment]), board([amended])],
		truth: truth([loggedHold, loggedAmend, loggedPay]),
		expected: {acknowledgedWrites: 3, replicaReadShare: 1},
	},
	{
		name: 'an acknowledged write that is not in the log',
		history: [hold(), pay()], truth: truth([loggedHold]), expected: {acknowledgedWrites: 2, lostWrites: 1},
	},
	{
		name: 'a write that ended in a statement error is not acknowledged',
		history: [hold({statementError: 'lane-taken'})], truth: truth([]), expected: {acknowledgedWrites: 0},
	},
	{
		name: 'a payment that is in the rows twice',
		history: [pay()], truth: truth([loggedPay], {payments: [payment, payment]}), expected: {acknowledgedWrites: 1, doubledWrites: 1},
	},
	{
		name: 'a request key that is in the log twice',
		history: [hold()], truth: truth([loggedHold, loggedHold]), expected: {acknowledgedWrites: 1, doubledWrites: 1},
	},
	{
		name: 'a payment that was logged with another amount',
		history: [pay()], truth: truth([logged('k3', 'payments', {...payment, amountCents: 50})]), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a payment without its row change',
		history: [pay()], truth: truth([{...loggedPay, changes: []}]), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a row that differs from the log',
		history: [hold()], truth: truth([loggedHold], {bookings: [{...held, slot: '19:00'}]}), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a row that is missing though the log has it',
		history: [hold()], truth: truth([loggedHold], {bookings: []}), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a read that misses the session\'s own hold',
		history: [hold(), read([])], truth: truth([loggedHold]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a board that misses the session\'s own hold',
		history: [hold(), board([])], truth: truth([loggedHold]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a list that misses the session\'s own payment',
		history: [pay(), payments([])], truth: truth([loggedPay]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a read that shows the row before the session\'s own amendment',
		history: [hold(), amend(), read([held])], truth: truth([loggedHold, loggedAmend]), expected: {acknowledgedWrites: 2, staleSessionReads: 1},
	},
	{
		name: 'a read behind an earlier read of the same session',
		history: [hold({sessionId: 's2'}), amend({sessionId: 's2'}), read([amended]), read([held])],
		truth: truth([loggedHold, loggedAmend]),
		expected: {acknowledgedWrites: 2, staleSessionReads: 1},
	},
	{
		name: 'an older state that another session sees is allowed',
		history: [hold({sessionId: 's2'}), amend({sessionId: 's2'}), read([held]), read([amended])],
		truth: truth([loggedHold, loggedAmend]),
		expected: {acknowledgedWrites: 2},
	},
	{
		name: 'a board may leave out a booking that was cancelled meanwhile, but not show it to the session that cancelled it',
		history: [hold(), amend(), board([]), entry({requestKey: 'k4', statement: 'cancel_booking', parameters: ['b1']}), board([amended])],
		truth: truth([loggedHold, loggedAmend, loggedCancel]),
		expected: {acknowledgedWrites: 3, staleSessionReads: 1},
	},
	{
		name: 'a read of a state that the log does not have',
		history: [hold(), read([{...held, note: 'removed by a failover'}])], truth: truth([loggedHold]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a write that was answered not run and is in the log',
		history: [hold({outcome: 'not-run', code: 'overloaded'})], truth: truth([loggedHold]), expected: {acknowledgedWrites: 0, falseNotRun: 1},
	},
	{
		name: 'not run after an unknown attempt with the same key proves nothing',
		history: [hold({outcome: 'unknown'}), hold({outcome: 'not-run'})],
		truth: truth([loggedHold]),
		expected: {
			acknowledgedWrites: 0,
			unknownOutcomes: {
				total: 1, resolvedRun: 0, resolvedNotRun: 0, unresolved: 1,
			},
		},
	},
	{
		name: 'unknown outcomes that a repeat resolves either way',
		history: [hold({outcome: 'unknown'}), hold({isRepeated: true}), pay({outcome: 'unknown'}), pay()],
		truth: truth([loggedHold, loggedPay]),
		expected: {
			acknowledgedWrites: 2,
			unknownOutcomes: {
				total: 2, resolvedRun: 1, resolvedNotRun: 1, unresolved: 0,
			},
		},
	},
	{
		name: 'an answer with the row of another request',
		history: [read([held], {parameters: ['b2']})], truth: truth([loggedHold]), expected: {acknowledgedWrites: 0, mixedAnswers: 1},
	},
	{
		name: 'a request that was cut',
		history: [hold({outcome: 'unknown', isCut: true}), hold({isRepeated: true})],
		truth: truth([loggedHold]),
		expected: {
			acknowledgedWrites: 1,
			cutRequests: 1,
			unknownOutcomes: {
				total: 1, resolvedRun: 1, resolvedNotRun: 0, unresolved: 0,
			},
		},
	},
	{
		name: 'an instance over its cap of connections',
		history: [hold()], truth: truth([loggedHold], {maxConnectionsSeen: {m1: 36}}), expected: {acknowledgedWrites: 1, connectionsOverCap: 1},
	},
	{
		name: 'reads at the primary lower the share of replicas, reads of age 0 do not count',
		history: [read([]), read([], {isByReplica: false}), read([], {isByReplica: false, maxAgeMs: 0})], truth: truth([]), expected: {acknowledgedWrites: 0, replicaReadShare: 0.5},
	},
];

const noHarm = {
	lostWrites: 0, doubledWrites: 0, alteredWrites: 0, staleSessionReads: 0, falseNotRun: 0, mixedAnswers: 0, cutRequests: 0, connectionsOverCap: 0, writeGapMs: 0,
	unknownOutcomes: {
		total: 0, resolvedRun: 0, resolvedNotRun: 0, unresolved: 0,
	},
};

// Guards against a checker that passes a run with harm, or counts one harm as several.
for (const {name, history, truth, expected} of cases) {
	test(name, t => {
		t.match(checkHistory({history, truths: [truth], connectionCap: 35}), {...noHarm, ...expected});
		t.end();
	});
}

// Guards against a gap that is taken from before the fault, or from a run that never recovered.
test('the write gap spans the fault', t => {
	const writes = [0, 900, 1000, 4000, 4100].map((returnMs, index) => hold({requestKey: `g${index}`, returnMs}));
	const gapOf = (history: HistoryEntry[], faultAtMs: number) => {
		const {writeGapMs, writesResumed} = checkHistory({
			history, truths: [], connectionCap: 35, faultAtMs, faultDatabase: database,
		});
		return {writeGapMs, writesResumed};
	};

	t.same(gapOf(writes, 1500), {writeGapMs: 3000, writesResumed: true});
	t.same(gapOf(writes, 4050), {writeGapMs: 100, writesResumed: true});
	t.same(gapOf([...writes, read([], {returnMs: 9000})], 4200), {writeGapMs: 4900, writesResumed: false});
	t.end();
});
