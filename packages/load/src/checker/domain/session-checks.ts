import {isDeepStrictEqual} from 'node:util';
import {type HistoryEntry, type JsonRow} from '../../history/index.js';
import {type FinalGroupState, type HistoryViolation, type TableName} from '../definitions.js';
import {isAcknowledged} from './write-checks.js';
import {findExpectedColumns} from './statements.js';

/**
 * States of one row in log order. State 0 stands for "no row yet" and state n for the row after its n-th change, which
 * gives the reads and writes of a row a common order.
 */
type RowHistory = {states: Array<JsonRow | undefined>; stateByRequestKey: Map<string, number>};

type RowHistories = Map<string, RowHistory>;

const createRowKey = (table: TableName, rowId: string): string => `${table}/${rowId}`;

const collectRowHistories = (finalState: FinalGroupState): RowHistories => {
	const rows: RowHistories = new Map();
	for (const entry of finalState.entries) {
		for (const change of entry.changes) {
			const rowKey = createRowKey(change.table, change.rowId);
			const row: RowHistory = rows.get(rowKey) ?? {states: [undefined], stateByRequestKey: new Map()};
			row.states.push(change.row);
			for (const key of entry.requestKeys) {
				row.stateByRequestKey.set(key, row.states.length - 1);
			}

			rows.set(rowKey, row);
		}
	}

	return rows;
};

/** Table of the rows that each read statement returns, and its id column. */
const readTargets: Record<string, {table: TableName; idColumn: string}> = {
	get_booking: {table: 'bookings', idColumn: 'bookingId'},
	lane_board: {table: 'bookings', idColumn: 'bookingId'},
	list_payments: {table: 'payments', idColumn: 'paymentId'},
};

/** Whether the read returns a row in this state. */
const isRowInScope = (read: HistoryEntry, row: JsonRow): boolean => {
	const [first] = read.parameters;
	return read.statement === 'lane_board'
		? row.state !== 'cancelled' && String(row.lane).startsWith(String(first))
		: row.bookingId === first;
};

/** Whether the answer allows a conclusion about a row: it contains the row, or it should contain the row in the state that the session knows. */
const canCheckRow = (read: HistoryEntry, observed: JsonRow | undefined, known: JsonRow | undefined): boolean =>
	observed !== undefined || (known !== undefined && isRowInScope(read, known));

/**
 * Returns the latest state of the row that is consistent with the answer, or undefined if none is. A row that is not in
 * the answer may not exist or may be in a state that the read does not return.
 */
const findObservedState = (row: RowHistory, read: HistoryEntry, observed: JsonRow | undefined): number | undefined => {
	const index = row.states.findLastIndex(state => observed === undefined
		? state === undefined || !isRowInScope(read, state)
		: isDeepStrictEqual(state, observed));
	return index === -1 ? undefined : index;
};

/** The lowest state that the session's next read may return for each row, with the history entry that set it. */
class MinimumRowStates {
	readonly #minimums = new Map<string, {state: number; setBy: HistoryEntry}>();

	raise(rowKey: string, state: number, setBy: HistoryEntry): void {
		if (state > (this.#minimums.get(rowKey)?.state ?? 0)) {
			this.#minimums.set(rowKey, {state, setBy});
		}
	}

	entries(): Array<[string, {state: number; setBy: HistoryEntry}]> {
		return [...this.#minimums];
	}
}

const raiseByWrite = (minimumStates: MinimumRowStates, rows: RowHistories, write: HistoryEntry): void => {
	const expected = findExpectedColumns(write);
	if (!expected) {
		return;
	}

	const rowKey = createRowKey(expected.table, expected.rowId);
	const state = rows.get(rowKey)?.stateByRequestKey.get(write.requestKey ?? '');
	if (state !== undefined) {
		minimumStates.raise(rowKey, state, write);
	}
};

const createStaleRead = (read: HistoryEntry, detail: string): HistoryViolation => ({
	kind: 'stale-session-read', historyId: read.id, detail: `${read.sessionId} ${read.statement} at ${read.proxy} by ${read.servedBy}: ${detail}`,
});

const checkRead = (minimumStates: MinimumRowStates, rows: RowHistories, read: HistoryEntry): HistoryViolation[] => {
	const target = readTargets[read.statement];
	if (!target) {
		return [];
	}

	const {table, idColumn} = target;
	const observedRows = new Map(read.rows.map(row => [createRowKey(table, String(row[idColumn])), row]));
	const violations: HistoryViolation[] = [];
	for (const [rowKey, {state, setBy}] of minimumStates.entries()) {
		const row = rows.get(rowKey);
		if (row && rowKey.startsWith(`${table}/`) && canCheckRow(read, observedRows.get(rowKey), row.states[state])) {
			const observedState = findObservedState(row, read, observedRows.get(rowKey));
			if (observedState === undefined || observedState < state) {
				violations.push(createStaleRead(read, `row ${rowKey} at state ${observedState ?? 'not in the log'}, state ${state} was seen or written by entry ${setBy.id}`));
			}
		}
	}

	for (const [rowKey, observed] of observedRows) {
		const row = rows.get(rowKey);
		const state = row && findObservedState(row, read, observed);
		if (state === undefined) {
			violations.push(createStaleRead(read, `row ${rowKey} is in no state of the log: ${JSON.stringify(observed)}`));
		} else {
			minimumStates.raise(rowKey, state, read);
		}
	}

	// A read counts as one violation even if several of its rows are stale.
	return violations.slice(0, 1);
};

/**
 * Finds reads that miss an acknowledged write of their own session or return an older state than an earlier read of the
 * session, through whichever proxy. A session has one request in flight at a time, so its requests are ordered by the
 * time of their invocation.
 */
export const findStaleSessionReads = (history: readonly HistoryEntry[], finalState: FinalGroupState): HistoryViolation[] => {
	const rows = collectRowHistories(finalState);
	const minimumStatesBySession = new Map<string, MinimumRowStates>();
	const doneInOrder = history.filter(entry => entry.outcome === 'done').sort((a, b) => a.invokeMs - b.invokeMs);
	return doneInOrder.flatMap(entry => {
		const minimumStates = minimumStatesBySession.get(entry.sessionId) ?? new MinimumRowStates();
		minimumStatesBySession.set(entry.sessionId, minimumStates);
		if (entry.access === 'read') {
			return checkRead(minimumStates, rows, entry);
		}

		if (isAcknowledged(entry)) {
			raiseByWrite(minimumStates, rows, entry);
		}

		return [];
	});
};
