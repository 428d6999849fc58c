import {errAsync} from 'neverthrow';
import {type AuditCounters} from '../definitions.js';

/** Used if no samples file is given. */
export const unavailableCounters: AuditCounters = {
	readBetween: () => errAsync({kind: 'counters-unavailable', message: 'No counters without --samples, the file that "dogwoodctl report" keeps; the report lists the changes only.'}),
};
