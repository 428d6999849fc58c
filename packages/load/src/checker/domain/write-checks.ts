import {isDeepStrictEqual} from 'node:util';
import {type HistoryEntry, type JsonRow} from '../../history/index.js';
import {type GroupTruth, type Harm, type LoggedEntry} from '../definitions.js';
import {expectedColumns, isRowOf} from './statements.js';

/** Acknowledged: the caller was told that the write took effect. */
export const isAcknowledged = (entry: HistoryEntry): boolean =>
	entry.access === 'write' && entry.outcome === 'done' && entry.statementError === undefined;

const entriesByKey = (truth: GroupTruth): Map<string, LoggedEntry[]> => {
	const byKey = new Map<string, LoggedEntry[]>();
	for (const entry of truth.entries) {
		for (const key of entry.requestKeys) {
			byKey.set(key, [...byKey.get(key) ?? [], entry]);
		}
	}

	return byKey;
};

/** One entry of the history for each acknowledged request key. */
const acknowledgedByKey = (history: readonly HistoryEntry[]): HistoryEntry[] =>
	[...new Map(history.filter(entry => isAcknowledged(entry)).map(entry => [entry.requestKey, entry])).values()];

/** Acknowledged writes whose key is not in the log of the current primary. */
export const findLostWrites = (history: readonly HistoryEntry[], truth: GroupTruth): Harm[] => {
	const byKey = entriesByKey(truth);
	return acknowledgedByKey(history)
		.filter(entry => !byKey.has(entry.requestKey ?? ''))
		.map(entry => ({kind: 'lost-write', historyId: entry.id, detail: `${entry.statement} ${entry.requestKey} was acknowledged and is not in the log of ${truth.database}`}));
};

const findRepeats = (ids: string[]): string[] => {
	const seen = new Set<string>();
	return [...new Set(ids.filter(id => {
		const isRepeat = seen.has(id);
		seen.add(id);
		return isRepeat;
	}))];
};

/** Keys that were applied twice, and payments that are in the table twice. */
export const findDoubledWrites = (_history: readonly HistoryEntry[], truth: GroupTruth): Harm[] => {
	const keys = findRepeats(truth.entries.flatMap(entry => entry.requestKeys))
		.map(key => `request key ${key} is in the log of ${truth.database} more than once`);
	const payments = findRepeats(truth.payments.map(row => String(row.paymentId)))
		.map(id => `payment ${id} is in the rows of ${truth.database} more than once`);
	return [...keys, ...payments].map(detail => ({kind: 'doubled-write', detail}));
};

/** Differences between what an acknowledged write asked for and what the log and the answer hold. */
const alterationOf = (entry: HistoryEntry, logged: LoggedEntry): string | undefined => {
	const expected = expectedColumns(entry);
	if (!expected) {
		return undefined;
	}

	const change = logged.changes.find(({table, rowId}) => table === expected.table && rowId === expected.rowId);
	const row: JsonRow | undefined = change?.row;
	if (!change || (row && !isRowOf(row, expected.columns))) {
		return `${entry.statement} ${entry.requestKey} asked for ${JSON.stringify(expected.columns)}, logged is ${JSON.stringify(row)}`;
	}

	return undefined;
};

/** The rows must be what the log's last change of each row says. */
const findRowsUnlikeLog = (truth: GroupTruth): string[] => {
	const last = new Map<string, JsonRow | undefined>();
	for (const {table, rowId, row} of truth.entries.flatMap(entry => entry.changes)) {
		last.set(`${table}/${rowId}`, row);
	}

	const rows = new Map<string, JsonRow>([
		...truth.bookings.map(row => [`bookings/${String(row.bookingId)}`, row] as const),
		...truth.payments.map(row => [`payments/${String(row.paymentId)}`, row] as const),
	]);
	return [...new Set([...last.keys(), ...rows.keys()])]
		.filter(id => !isDeepStrictEqual(last.get(id), rows.get(id)))
		.map(id => `row ${id} is ${JSON.stringify(rows.get(id))}, the log says ${JSON.stringify(last.get(id))}`);
};

/** Acknowledged writes whose logged row, or whose row at the end, differs from what was asked. */
export const findAlteredWrites = (history: readonly HistoryEntry[], truth: GroupTruth): Harm[] => {
	const byKey = entriesByKey(truth);
	const altered = acknowledgedByKey(history).flatMap((entry): Harm[] => {
		const logged = byKey.get(entry.requestKey ?? '')?.[0];
		const detail = logged && alterationOf(entry, logged);
		return detail ? [{kind: 'altered-write', historyId: entry.id, detail}] : [];
	});
	return [...altered, ...findRowsUnlikeLog(truth).map((detail): Harm => ({kind: 'altered-write', detail}))];
};

/**
 * Keys that were only ever answered "not run" and are in the log all the same. A key with an
 * unknown attempt proves nothing: that attempt may be the one that ran.
 */
export const findFalseNotRun = (history: readonly HistoryEntry[], truth: GroupTruth): Harm[] => {
	const byKey = entriesByKey(truth);
	const mayHaveRun = new Set(history.filter(entry => entry.outcome !== 'not-run').map(entry => entry.requestKey));
	const notRun = new Map(history
		.filter(entry => entry.access === 'write' && entry.outcome === 'not-run' && !mayHaveRun.has(entry.requestKey))
		.map(entry => [entry.requestKey, entry]));
	return [...notRun.values()]
		.filter(entry => byKey.has(entry.requestKey ?? ''))
		.map(entry => ({kind: 'false-not-run', historyId: entry.id, detail: `${entry.statement} ${entry.requestKey} was answered not run (${entry.code}) and is in the log`}));
};
