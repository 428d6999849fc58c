import {isDeepStrictEqual} from 'node:util';
import {type HistoryEntry, type JsonRow} from '../../history/index.js';
import {type GroupTruth, type Harm, type TableName} from '../definitions.js';
import {isAcknowledged} from './write-checks.js';
import {expectedColumns} from './statements.js';

/**
 * States of one row in log order. State 0 is "no row yet", state n is the row after its n-th
 * change, so that reads and writes of a row can be put in one order.
 */
type RowHistory = {states: Array<JsonRow | undefined>; stateOfKey: Map<string, number>};

type RowHistories = Map<string, RowHistory>;

const rowName = (table: TableName, rowId: string): string => `${table}/${rowId}`;

const collectRowHistories = (truth: GroupTruth): RowHistories => {
	const rows: RowHistories = new Map();
	for (const entry of truth.entries) {
		for (const change of entry.changes) {
			const name = rowName(change.table, change.rowId);
			const row: RowHistory = rows.get(name) ?? {states: [undefined], stateOfKey: new Map()};
			row.states.push(change.row);
			for (const key of entry.requestKeys) {
				row.stateOfKey.set(key, row.states.length - 1);
			}

			rows.set(name, row);
		}
	}

	return rows;
};

/** Table that a read's answer shows. */
const tablesOfReads: Record<string, {table: TableName; idColumn: string}> = {
	get_booking: {table: 'bookings', idColumn: 'bookingId'},
	lane_board: {table: 'bookings', idColumn: 'bookingId'},
	list_payments: {table: 'payments', idColumn: 'paymentId'},
};

const coversRow = (read: HistoryEntry, row: JsonRow): boolean => {
	const [first] = read.parameters;
	return read.statement === 'lane_board'
		? row.state !== 'cancelled' && String(row.lane).startsWith(String(first))
		: row.bookingId === first;
};

/** Whether the read says something about a row: it is in the answer, or it would be if it were as the session knows it. */
const isShown = (read: HistoryEntry, seen: JsonRow | undefined, known: JsonRow | undefined): boolean =>
	seen !== undefined || (known !== undefined && coversRow(read, known));

/**
 * Latest state of the row that explains what the read saw; undefined if no state does. A row that
 * the read does not show may be missing or in a state that the read leaves out.
 */
const stateSeen = (row: RowHistory, read: HistoryEntry, seen: JsonRow | undefined): number | undefined => {
	const index = row.states.findLastIndex(state => seen === undefined
		? state === undefined || !coversRow(read, state)
		: isDeepStrictEqual(state, seen));
	return index === -1 ? undefined : index;
};

/** Lowest state that each row may have in the session's next read, with the entry that set it. */
class SessionFloor {
	readonly #floors = new Map<string, {state: number; setBy: HistoryEntry}>();

	raise(name: string, state: number, setBy: HistoryEntry): void {
		if (state > (this.#floors.get(name)?.state ?? 0)) {
			this.#floors.set(name, {state, setBy});
		}
	}

	entries(): Array<[string, {state: number; setBy: HistoryEntry}]> {
		return [...this.#floors];
	}
}

const raiseByWrite = (floor: SessionFloor, rows: RowHistories, write: HistoryEntry): void => {
	const expected = expectedColumns(write);
	if (!expected) {
		return;
	}

	const name = rowName(expected.table, expected.rowId);
	const state = rows.get(name)?.stateOfKey.get(write.requestKey ?? '');
	if (state !== undefined) {
		floor.raise(name, state, write);
	}
};

const stale = (read: HistoryEntry, detail: string): Harm => ({
	kind: 'stale-session-read', historyId: read.id, detail: `${read.sessionId} ${read.statement} at ${read.proxy} by ${read.servedBy}: ${detail}`,
});

const checkRead = (floor: SessionFloor, rows: RowHistories, read: HistoryEntry): Harm[] => {
	const description = tablesOfReads[read.statement];
	if (!description) {
		return [];
	}

	const {table, idColumn} = description;
	const seenRows = new Map(read.rows.map(row => [rowName(table, String(row[idColumn])), row]));
	const harms: Harm[] = [];
	for (const [name, {state, setBy}] of floor.entries()) {
		const row = rows.get(name);
		if (row && name.startsWith(`${table}/`) && isShown(read, seenRows.get(name), row.states[state])) {
			const seen = stateSeen(row, read, seenRows.get(name));
			if (seen === undefined || seen < state) {
				harms.push(stale(read, `row ${name} at state ${seen ?? 'not in the log'}, state ${state} was seen or written by entry ${setBy.id}`));
			}
		}
	}

	for (const [name, seen] of seenRows) {
		const row = rows.get(name);
		const state = row && stateSeen(row, read, seen);
		if (state === undefined) {
			harms.push(stale(read, `row ${name} is in no state of the log: ${JSON.stringify(seen)}`));
		} else {
			floor.raise(name, state, read);
		}
	}

	// One read is one violation, however many rows show it.
	return harms.slice(0, 1);
};

/**
 * Reads that miss an acknowledged write of their own session or fall behind an earlier read of it,
 * through whichever proxy. Sessions have one request at a time, so the order of invocation is the
 * session's order.
 */
export const findStaleSessionReads = (history: readonly HistoryEntry[], truth: GroupTruth): Harm[] => {
	const rows = collectRowHistories(truth);
	const floors = new Map<string, SessionFloor>();
	const inOrder = history.filter(entry => entry.outcome === 'done').sort((a, b) => a.invokeMs - b.invokeMs);
	return inOrder.flatMap(entry => {
		const floor = floors.get(entry.sessionId) ?? new SessionFloor();
		floors.set(entry.sessionId, floor);
		if (entry.access === 'read') {
			return checkRead(floor, rows, entry);
		}

		if (isAcknowledged(entry)) {
			raiseByWrite(floor, rows, entry);
		}

		return [];
	});
};
