import {isDeepStrictEqual} from 'node:util';
import {type HistoryEntry, type JsonRow} from '../../history/index.js';
import {type TableName} from '../definitions.js';

/** The row that a write must have changed and the values that it must have set. */
export type ExpectedColumns = {table: TableName; rowId: string; columns: JsonRow};

type DeriveExpectedColumns = (parameters: unknown[]) => ExpectedColumns;

const expectBooking = (bookingId: unknown, columns: JsonRow): ExpectedColumns => ({
	table: 'bookings', rowId: String(bookingId), columns: {bookingId, ...columns},
});

/** Expected columns of each write statement, derived from its parameters; each of these statements changes one known row. */
const expectedColumnsByStatement: Record<string, DeriveExpectedColumns> = {
	hold_lane: ([bookingId, lane, slot, caller]) => expectBooking(bookingId, {lane, slot, caller}),
	amend_booking: ([bookingId, note]) => expectBooking(bookingId, {note}),
	cancel_booking: ([bookingId]) => expectBooking(bookingId, {state: 'cancelled'}),
	pay_deposit: ([paymentId, bookingId, amountCents]) => ({
		table: 'payments', rowId: String(paymentId), columns: {paymentId, bookingId, amountCents},
	}),
};

export const findExpectedColumns = (entry: HistoryEntry): ExpectedColumns | undefined =>
	expectedColumnsByStatement[entry.statement]?.(entry.parameters);

/** Whether the row has all these columns with the same values. */
export const hasColumns = (row: JsonRow, columns: JsonRow): boolean =>
	Object.entries(columns).every(([name, value]) => isDeepStrictEqual(row[name], value));

/** Whether a row can belong to the answer to this request. Each row contains an id from the request's parameters. */
export const canBeAnswerRow = (entry: HistoryEntry, row: JsonRow): boolean => {
	const [first, second] = entry.parameters;
	const expected: Record<string, () => boolean> = {
		get_booking: () => row.bookingId === first,
		list_payments: () => row.bookingId === first,
		lane_board: () => String(row.lane).startsWith(String(first)),
		hold_lane: () => row.bookingId === first,
		amend_booking: () => row.bookingId === first,
		cancel_booking: () => row.bookingId === first,
		pay_deposit: () => row.paymentId === first && row.bookingId === second,
	};
	return expected[entry.statement]?.() ?? true;
};
