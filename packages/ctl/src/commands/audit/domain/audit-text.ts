import {type HistoryEntry, type MonitorWords} from '@dogwoodthread/coordination';
import {toInlineText} from '../../../cli/index.js';
import {type DatabaseCounters, type PeriodCounters} from '../definitions.js';

/** Counts the lines that a change removed and added. */
export const countChangedLines = ({difference}: HistoryEntry): {removed: number; added: number} => {
	const hunks = Object.values(difference).flat();
	return {
		removed: hunks.reduce((sum, hunk) => sum + hunk.removed.length, 0),
		added: hunks.reduce((sum, hunk) => sum + hunk.added.length, 0),
	};
};

/** Formats one change in the terms that the section `monitor` sets. */
export const formatChange = (words: MonitorWords, entry: HistoryEntry): string => {
	const {version, atUnixMs, section, author, team, reason} = entry.change;
	const {removed, added} = countChangedLines(entry);
	const place = section === 'all' ? 'the whole document' : `section ${section}`;
	return `${new Date(atUnixMs).toISOString()}  ${words.change}, version ${version}, ${place}, by ${toInlineText(author)} (${toInlineText(team)}): ${toInlineText(reason)}; ${removed} lines removed, ${added} added`;
};

const formatOptionalCount = (count: number | undefined): string => count === undefined ? 'not known' : String(count);

/** Formats the counters of one database in the terms that the section `monitor` sets. */
export const formatCounters = (words: MonitorWords, {database, acknowledgedWrites, refused, unknownOutcomes, promotions}: DatabaseCounters): string => [
	`${words.database} ${database}: ${words.booking} and ${words.payment}, acknowledged writes together: ${formatOptionalCount(acknowledgedWrites)}`,
	`${words.refused}: ${refused}`,
	`unknown outcomes: ${unknownOutcomes}`,
	`promotions: ${formatOptionalCount(promotions)}`,
].join('; ');

/** Describes which samples the counters are computed from, and what the counters cannot show. */
export const describeLimits = (words: MonitorWords, {firstSampleUnixMs, lastSampleUnixMs, damagedLines}: PeriodCounters): string[] => [
	`Counted by the proxies, from samples between ${new Date(firstSampleUnixMs).toISOString()} and ${new Date(lastSampleUnixMs).toISOString()}.`,
	`Not known from counters: ${words.lost}, ${words.doubled}, ${words.altered}. They take a comparison of the callers' answers with the endpoints' logs.`,
	`Not told apart: ${words.booking} and ${words.payment}; a repeated request counts once for each answer; statements of transactions are not counted.`,
	'Missing: requests before the first sample, and those of a proxy between its last sample and its end. Between two samples an even rate is assumed.',
	...damagedLines > 0 ? [`Lines of the samples file that cannot be read and are left out: ${damagedLines}.`] : [],
];
