import {isDeepStrictEqual} from 'node:util';
import {type HistoryEntry, type JsonRow} from '../../history/index.js';
import {type TableName} from '../definitions.js';

/** Columns that a write must have set, and the row that it must have set them in. */
export type ExpectedColumns = {table: TableName; rowId: string; columns: JsonRow};

type Describe = (parameters: unknown[]) => ExpectedColumns;

const booking = (bookingId: unknown, columns: JsonRow): ExpectedColumns => ({
	table: 'bookings', rowId: String(bookingId), columns: {bookingId, ...columns},
});

/** Parameters of each write of the endpoints that changes one known row. */
const writes: Record<string, Describe> = {
	hold_lane: ([bookingId, lane, slot, caller]) => booking(bookingId, {lane, slot, caller}),
	amend_booking: ([bookingId, note]) => booking(bookingId, {note}),
	cancel_booking: ([bookingId]) => booking(bookingId, {state: 'cancelled'}),
	pay_deposit: ([paymentId, bookingId, amountCents]) => ({
		table: 'payments', rowId: String(paymentId), columns: {paymentId, bookingId, amountCents},
	}),
};

export const expectedColumns = (entry: HistoryEntry): ExpectedColumns | undefined =>
	writes[entry.statement]?.(entry.parameters);

/** Whether the row has all the columns with these values. */
export const isRowOf = (row: JsonRow, columns: JsonRow): boolean =>
	Object.entries(columns).every(([name, value]) => isDeepStrictEqual(row[name], value));

/** Whether a row can belong to the answer to this request; each carries an id of the request. */
export const isAnswerRow = (entry: HistoryEntry, row: JsonRow): boolean => {
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
