import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/** What the proxies counted of the requests for one database in a period. */
export type DatabaseCounters = {
	database: string;
	/** Writes answered as done; absent if samples of the period lack the number of reads. */
	acknowledgedWrites?: number;
	/** Requests that were answered as not run. */
	refused: number;
	/** Requests whose outcome was answered as unknown. */
	unknownOutcomes: number;
	/** Changes of the primary; absent if samples of the period lack them. */
	promotions?: number;
};

export type PeriodCounters = {
	databases: DatabaseCounters[];
	/** First and last sample that the counters rest on, in ms since the Unix epoch. */
	firstSampleUnixMs: number;
	lastSampleUnixMs: number;
	/** Lines of the source that could not be read. */
	damagedLines: number;
};

export type CounterErrorKind = 'counters-unavailable';

/** Source of the counters of each database. */
export type AuditCounters = {
	readBetween(fromUnixMs: number, toUnixMs: number): ResultAsync<PeriodCounters, TypedError<CounterErrorKind>>;
};
