import {test} from 'tap';
import {
	checkHistory, type CheckReport, type FinalGroupState, type HistoryEntry, type JsonRow, type LoggedEntry,
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

const createFinalState = (entries: LoggedEntry[], overrides: Partial<FinalGroupState> = {}): FinalGroupState => {
	const rows = {bookings: new Map<string, JsonRow>(), payments: new Map<string, JsonRow>()};
	for (const {table, rowId, row} of entries.flatMap(({changes}) => changes)) {
		rows[table].set(rowId, row ?? {});
	}

	return {
		database, entries, bookings: [...rows.bookings.values()], payments: [...rows.payments.values()], maxConnectionsSeen: {m1: 35}, ...overrides,
	};
};

type Case = {name: string; history: HistoryEntry[]; finalState: FinalGroupState; expected: Partial<CheckReport>};

const cases: Case[] = [
	{
		name: 'a history without violations',
		history: [hold(), read([held]), amend(), read([amended]), pay(), payments([payment]), board([amended])],
		finalState: createFinalState([loggedHold, loggedAmend, loggedPay]),
		expected: {acknowledgedWrites: 3, replicaReadShare: 1},
	},
	{
		name: 'an acknowledged write that is not in the log',
		history: [hold(), pay()], finalState: createFinalState([loggedHold]), expected: {acknowledgedWrites: 2, lostWrites: 1},
	},
	{
		name: 'a write that ended in a statement error is not acknowledged',
		history: [hold({statementError: 'lane-taken'})], finalState: createFinalState([]), expected: {acknowledgedWrites: 0},
	},
	{
		name: 'a payment that is in the rows twice',
		history: [pay()], finalState: createFinalState([loggedPay], {payments: [payment, payment]}), expected: {acknowledgedWrites: 1, doubledWrites: 1},
	},
	{
		name: 'a request key that is in the log twice',
		history: [hold()], finalState: createFinalState([loggedHold, loggedHold]), expected: {acknowledgedWrites: 1, doubledWrites: 1},
	},
	{
		name: 'a payment that was logged with another amount',
		history: [pay()], finalState: createFinalState([logged('k3', 'payments', {...payment, amountCents: 50})]), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a payment without its row change',
		history: [pay()], finalState: createFinalState([{...loggedPay, changes: []}]), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a row that differs from the log',
		history: [hold()], finalState: createFinalState([loggedHold], {bookings: [{...held, slot: '19:00'}]}), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a row that is missing though the log has it',
		history: [hold()], finalState: createFinalState([loggedHold], {bookings: []}), expected: {acknowledgedWrites: 1, alteredWrites: 1},
	},
	{
		name: 'a read that misses the session\'s own hold',
		history: [hold(), read([])], finalState: createFinalState([loggedHold]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a board that misses the session\'s own hold',
		history: [hold(), board([])], finalState: createFinalState([loggedHold]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a list that misses the session\'s own payment',
		history: [pay(), payments([])], finalState: createFinalState([loggedPay]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a read that shows the row before the session\'s own amendment',
		history: [hold(), amend(), read([held])], finalState: createFinalState([loggedHold, loggedAmend]), expected: {acknowledgedWrites: 2, staleSessionReads: 1},
	},
	{
		name: 'a read that is older than an earlier read of the same session',
		history: [hold({sessionId: 's2'}), amend({sessionId: 's2'}), read([amended]), read([held])],
		finalState: createFinalState([loggedHold, loggedAmend]),
		expected: {acknowledgedWrites: 2, staleSessionReads: 1},
	},
	{
		name: 'an older state that another session sees is allowed',
		history: [hold({sessionId: 's2'}), amend({sessionId: 's2'}), read([held]), read([amended])],
		finalState: createFinalState([loggedHold, loggedAmend]),
		expected: {acknowledgedWrites: 2},
	},
	{
		name: 'a board may omit a booking that was cancelled concurrently, but must not show it to the session that cancelled it',
		history: [hold(), amend(), board([]), entry({requestKey: 'k4', statement: 'cancel_booking', parameters: ['b1']}), board([amended])],
		finalState: createFinalState([loggedHold, loggedAmend, loggedCancel]),
		expected: {acknowledgedWrites: 3, staleSessionReads: 1},
	},
	{
		name: 'a read of a state that the log does not have',
		history: [hold(), read([{...held, note: 'removed by a failover'}])], finalState: createFinalState([loggedHold]), expected: {acknowledgedWrites: 1, staleSessionReads: 1},
	},
	{
		name: 'a write that was answered not run and is in the log',
		history: [hold({outcome: 'not-run', code: 'overloaded'})], finalState: createFinalState([loggedHold]), expected: {acknowledgedWrites: 0, falseNotRun: 1},
	},
	{
		name: 'not run after an unknown attempt with the same key is no violation',
		history: [hold({outcome: 'unknown'}), hold({outcome: 'not-run'})],
		finalState: createFinalState([loggedHold]),
		expected: {
			acknowledgedWrites: 0,
			unknownOutcomes: {
				total: 1, resolvedRun: 0, resolvedNotRun: 0, unresolved: 1,
			},
		},
	},
	{
		name: 'unknown outcomes that a retry resolves either way',
		history: [hold({outcome: 'unknown'}), hold({isRepeated: true}), pay({outcome: 'unknown'}), pay()],
		finalState: createFinalState([loggedHold, loggedPay]),
		expected: {
			acknowledgedWrites: 2,
			unknownOutcomes: {
				total: 2, resolvedRun: 1, resolvedNotRun: 1, unresolved: 0,
			},
		},
	},
	{
		name: 'a write that a retry ran again after an unknown attempt had run is doubled',
		history: [hold({outcome: 'unknown'}), hold()],
		finalState: createFinalState([loggedHold, loggedHold]),
		expected: {
			acknowledgedWrites: 1,
			doubledWrites: 1,
			unknownOutcomes: {
				total: 1, resolvedRun: 0, resolvedNotRun: 1, unresolved: 0,
			},
		},
	},
	{
		name: 'an answer with the row of another request',
		history: [read([held], {parameters: ['b2']})], finalState: createFinalState([loggedHold]), expected: {acknowledgedWrites: 0, mixedAnswers: 1},
	},
	{
		name: 'a request that was cut',
		history: [hold({outcome: 'unknown', isCut: true}), hold({isRepeated: true})],
		finalState: createFinalState([loggedHold]),
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
		history: [hold()], finalState: createFinalState([loggedHold], {maxConnectionsSeen: {m1: 36}}), expected: {acknowledgedWrites: 1, connectionsOverCap: 1},
	},
	{
		name: 'reads at the primary lower the share of replicas, reads of age 0 do not count',
		history: [read([]), read([], {isByReplica: false}), read([], {isByReplica: false, maxAgeMs: 0})], finalState: createFinalState([]), expected: {acknowledgedWrites: 0, replicaReadShare: 0.5},
	},
];

const noViolations = {
	lostWrites: 0, doubledWrites: 0, alteredWrites: 0, staleSessionReads: 0, falseNotRun: 0, mixedAnswers: 0, cutRequests: 0, connectionsOverCap: 0, writeGapMs: 0,
	unknownOutcomes: {
		total: 0, resolvedRun: 0, resolvedNotRun: 0, unresolved: 0,
	},
};

// Guards against a checker that misses a violation or counts one violation several times.
for (const {name, history, finalState, expected} of cases) {
	test(name, t => {
		t.match(checkHistory({history, finalStates: [finalState], connectionCap: 35}), {...noViolations, ...expected});
		t.end();
	});
}

// Guards against measuring a gap before the fault, and against a gap that ends at the last write although writes never resumed.
test('the write gap contains or follows the start of the fault', t => {
	const writes = [0, 900, 1000, 4000, 4100].map((returnMs, index) => hold({requestKey: `g${index}`, returnMs}));
	const gapOf = (history: HistoryEntry[], faultAtMs: number) => {
		const {writeGapMs, writesResumed} = checkHistory({
			history, finalStates: [], connectionCap: 35, faultAtMs, faultDatabase: database,
		});
		return {writeGapMs, writesResumed};
	};

	t.same(gapOf(writes, 1500), {writeGapMs: 3000, writesResumed: true});
	t.same(gapOf(writes, 4050), {writeGapMs: 100, writesResumed: true});
	t.same(gapOf([...writes, read([], {returnMs: 9000})], 4200), {writeGapMs: 4900, writesResumed: false});
	t.end();
});
