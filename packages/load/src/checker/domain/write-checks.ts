import {isDeepStrictEqual} from 'node:util';
import {type HistoryEntry, type JsonRow} from '../../history/index.js';
import {type FinalGroupState, type HistoryViolation, type LoggedEntry} from '../definitions.js';
import {findExpectedColumns, hasColumns} from './statements.js';

/** Whether the caller was told that the write took effect. */
export const isAcknowledged = (entry: HistoryEntry): boolean =>
	entry.access === 'write' && entry.outcome === 'done' && entry.statementError === undefined;

const indexByRequestKey = (finalState: FinalGroupState): Map<string, LoggedEntry[]> => {
	const entriesByKey = new Map<string, LoggedEntry[]>();
	for (const entry of finalState.entries) {
		for (const key of entry.requestKeys) {
			entriesByKey.set(key, [...entriesByKey.get(key) ?? [], entry]);
		}
	}

	return entriesByKey;
};

/** Returns one history entry for each acknowledged request key. */
const findAcknowledgedWrites = (history: readonly HistoryEntry[]): HistoryEntry[] =>
	[...new Map(history.filter(entry => isAcknowledged(entry)).map(entry => [entry.requestKey, entry])).values()];

/** Finds acknowledged writes whose key is not in the log of the current primary. */
export const findLostWrites = (history: readonly HistoryEntry[], finalState: FinalGroupState): HistoryViolation[] => {
	const entriesByKey = indexByRequestKey(finalState);
	return findAcknowledgedWrites(history)
		.filter(entry => !entriesByKey.has(entry.requestKey ?? ''))
		.map(entry => ({kind: 'lost-write', historyId: entry.id, detail: `${entry.statement} ${entry.requestKey} was acknowledged and is not in the log of ${finalState.database}`}));
};

const findDuplicates = (ids: string[]): string[] => {
	const seen = new Set<string>();
	return [...new Set(ids.filter(id => {
		const isDuplicate = seen.has(id);
		seen.add(id);
		return isDuplicate;
	}))];
};

/** Finds request keys that were applied more than once and payments that are in the table more than once. */
export const findDoubledWrites = (_history: readonly HistoryEntry[], finalState: FinalGroupState): HistoryViolation[] => {
	const keys = findDuplicates(finalState.entries.flatMap(entry => entry.requestKeys))
		.map(key => `request key ${key} is in the log of ${finalState.database} more than once`);
	const payments = findDuplicates(finalState.payments.map(row => String(row.paymentId)))
		.map(id => `payment ${id} is in the rows of ${finalState.database} more than once`);
	return [...keys, ...payments].map(detail => ({kind: 'doubled-write', detail}));
};

/** Describes the difference between the values that an acknowledged write requested and those in the log; undefined if there is none. */
const describeAlteration = (entry: HistoryEntry, logged: LoggedEntry): string | undefined => {
	const expected = findExpectedColumns(entry);
	if (!expected) {
		return undefined;
	}

	const change = logged.changes.find(({table, rowId}) => table === expected.table && rowId === expected.rowId);
	const row: JsonRow | undefined = change?.row;
	if (!change || (row && !hasColumns(row, expected.columns))) {
		return `${entry.statement} ${entry.requestKey} requested ${JSON.stringify(expected.columns)}, the log has ${JSON.stringify(row)}`;
	}

	return undefined;
};

/** Finds rows that differ from their last change in the log. */
const findRowsDifferingFromLog = (finalState: FinalGroupState): string[] => {
	const lastLoggedRows = new Map<string, JsonRow | undefined>();
	for (const {table, rowId, row} of finalState.entries.flatMap(entry => entry.changes)) {
		lastLoggedRows.set(`${table}/${rowId}`, row);
	}

	const rows = new Map<string, JsonRow>([
		...finalState.bookings.map(row => [`bookings/${String(row.bookingId)}`, row] as const),
		...finalState.payments.map(row => [`payments/${String(row.paymentId)}`, row] as const),
	]);
	return [...new Set([...lastLoggedRows.keys(), ...rows.keys()])]
		.filter(id => !isDeepStrictEqual(lastLoggedRows.get(id), rows.get(id)))
		.map(id => `row ${id} is ${JSON.stringify(rows.get(id))}, the log has ${JSON.stringify(lastLoggedRows.get(id))}`);
};

/** Finds acknowledged writes whose logged row differs from the request, and rows that differ from the log at the end of the run. */
export const findAlteredWrites = (history: readonly HistoryEntry[], finalState: FinalGroupState): HistoryViolation[] => {
	const entriesByKey = indexByRequestKey(finalState);
	const altered = findAcknowledgedWrites(history).flatMap((entry): HistoryViolation[] => {
		const logged = entriesByKey.get(entry.requestKey ?? '')?.[0];
		const detail = logged && describeAlteration(entry, logged);
		return detail ? [{kind: 'altered-write', historyId: entry.id, detail}] : [];
	});
	return [...altered, ...findRowsDifferingFromLog(finalState).map((detail): HistoryViolation => ({kind: 'altered-write', detail}))];
};

/**
 * Finds request keys that are in the log although every attempt was answered "not run". A key with an attempt whose
 * outcome is unknown is left out, because that attempt may be the one that ran.
 */
export const findFalseNotRun = (history: readonly HistoryEntry[], finalState: FinalGroupState): HistoryViolation[] => {
	const entriesByKey = indexByRequestKey(finalState);
	const possiblyRunKeys = new Set(history.filter(entry => entry.outcome !== 'not-run').map(entry => entry.requestKey));
	const notRun = new Map(history
		.filter(entry => entry.access === 'write' && entry.outcome === 'not-run' && !possiblyRunKeys.has(entry.requestKey))
		.map(entry => [entry.requestKey, entry]));
	return [...notRun.values()]
		.filter(entry => entriesByKey.has(entry.requestKey ?? ''))
		.map(entry => ({kind: 'false-not-run', historyId: entry.id, detail: `${entry.statement} ${entry.requestKey} was answered not run (${entry.code}) and is in the log`}));
};
