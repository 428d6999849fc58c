import {errAsync} from 'neverthrow';
import {type AuditCounters} from '../definitions.js';

/** Stands in until proxies report counters for each database. */
export const noCounters: AuditCounters = {
	between: () => errAsync({kind: 'counters-unavailable', message: 'Counters for each database are not collected yet; the report lists the changes only.'}),
};
