import {type JsonRow} from '../../history/index.js';
import {type LoggedEntry, type RowChange, type TableName} from '../../checker/index.js';

type ChangeDocument = {table: TableName; id: string; row?: JsonRow | null};

/** Answer of `GET /log` at an endpoint's control port. */
export type LogDocument = {
	entries: Array<{
		term: number;
		index: number;
		requestKeys?: string[];
		changes?: ChangeDocument[];
	}>;
};

const parseChange = ({table, id, row}: ChangeDocument): RowChange => ({table, rowId: id, row: row ?? undefined});

export const parseLog = ({entries}: LogDocument): LoggedEntry[] => entries.map(entry => ({
	term: entry.term,
	index: entry.index,
	requestKeys: entry.requestKeys ?? [],
	changes: (entry.changes ?? []).map(change => parseChange(change)),
}));
