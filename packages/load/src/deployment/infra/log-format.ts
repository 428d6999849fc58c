import {type JsonRow} from '../../history/index.js';
import {type LoggedEntry, type RowChange, type TableName} from '../../checker/index.js';

type ChangeDocument = {table: TableName; row: JsonRow};

/** Answer of `GET /log` at an endpoint's control port. */
export type LogDocument = {
	entries: Array<{
		term: number;
		index: number;
		changes: ChangeDocument[];
		requestKey?: {key: string};
	}>;
};

const idColumns = {bookings: 'bookingId', payments: 'paymentId'} as const;

const parseChange = ({table, row}: ChangeDocument): RowChange => ({table, rowId: String(row[idColumns[table]]), row});

export const parseLog = ({entries}: LogDocument): LoggedEntry[] => entries.map(({term, index, changes, requestKey}) => ({
	term, index, requestKeys: requestKey ? [requestKey.key] : [], changes: changes.map(change => parseChange(change)),
}));
