import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/** What happened to the writes of one database in a period. */
export type DatabaseCounters = {
	database: string;
	bookings: number;
	payments: number;
	lost: number;
	doubled: number;
	altered: number;
	refused: number;
};

export type CounterErrorKind = 'counters-unavailable';

/** Source of the counters of each database. */
export type AuditCounters = {
	between(fromUnixMs: number, toUnixMs: number): ResultAsync<DatabaseCounters[], TypedError<CounterErrorKind>>;
};
