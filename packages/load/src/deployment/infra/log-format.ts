import {type JsonRow} from '../../history/index.js';
import {type LoggedEntry, type RowChange} from '../../checker/index.js';

type ChangeDocument = {table: 'bookings' | 'payments'; row: JsonRow};

/** Answer of `GET /log` at an endpoint's control port. */
export type LogDocument = {
	entries: Array<{
		term: number;
		index: number;
		requestKey?: {key: string};
		changes: ChangeDocument[];
	}>;
};

const parseChange = ({table, row}: ChangeDocument): RowChange => ({
	table,
	rowId: String(table === 'bookings' ? row.bookingId : row.paymentId),
	row,
});

export const parseLog = ({entries}: LogDocument): LoggedEntry[] => entries.map(({term, index, requestKey, changes}) => ({
	term,
	index,
	requestKeys: requestKey ? [requestKey.key] : [],
	changes: changes.map(change => parseChange(change)),
}));
