import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/** Counters of the requests for one database in a period, summed over the proxies. */
export type DatabaseCounters = {
	database: string;
	/** Writes answered as done; absent if any sample lacks the number of reads or promotions. */
	acknowledgedWrites?: number;
	/** Requests that were answered as not run. */
	refused: number;
	/** Requests whose outcome was answered as unknown. */
	unknownOutcomes: number;
	/** Changes of the primary; absent if any sample lacks the number of reads or promotions. */
	promotions?: number;
};

export type PeriodCounters = {
	databases: DatabaseCounters[];
	/** Times of the first and last sample of the period, in ms since the Unix epoch. */
	firstSampleUnixMs: number;
	lastSampleUnixMs: number;
	/** Lines of the samples file that could not be parsed. */
	damagedLines: number;
};

export type CounterErrorKind = 'counters-unavailable';

/** Source of the counters for each database. */
export type AuditCounters = {
	readBetween(fromUnixMs: number, toUnixMs: number): ResultAsync<PeriodCounters, TypedError<CounterErrorKind>>;
};
