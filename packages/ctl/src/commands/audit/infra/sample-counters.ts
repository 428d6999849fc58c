import {err, ok} from 'neverthrow';
import {JsonLinesSampleStore} from '../../../report/index.js';
import {type AuditCounters} from '../definitions.js';
import {countPeriod} from '../domain/count-period.js';
import {unavailableCounters} from './unavailable-counters.js';

/** Creates a source of counters that reads the samples file written by `dogwoodctl report`. */
export const createAuditCounters = (samplesFile: string | undefined): AuditCounters => samplesFile === undefined
	? unavailableCounters
	: {
		readBetween: (fromUnixMs, toUnixMs) => new JsonLinesSampleStore(samplesFile).readAll()
			.mapErr(({message}) => ({kind: 'counters-unavailable' as const, message}))
			.andThen(({samples, damagedLines}) => {
				const counted = countPeriod(samples, fromUnixMs, toUnixMs);
				return counted
					? ok({...counted, damagedLines})
					: err({kind: 'counters-unavailable' as const, message: `${samplesFile} has no samples of the period; run "dogwoodctl report" regularly.`});
			}),
	};
