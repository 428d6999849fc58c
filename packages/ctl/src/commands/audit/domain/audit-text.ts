import {type HistoryEntry, type MonitorWords} from '@dogwoodthread/coordination';
import {type DatabaseCounters} from '../definitions.js';

/** Number of lines that a change removed and added. */
export const changedLines = ({difference}: HistoryEntry): {removed: number; added: number} => {
	const hunks = Object.values(difference).flat();
	return {
		removed: hunks.reduce((sum, hunk) => sum + hunk.removed.length, 0),
		added: hunks.reduce((sum, hunk) => sum + hunk.added.length, 0),
	};
};

/** One change in the words of the monitor's section. */
export const changeText = (words: MonitorWords, entry: HistoryEntry): string => {
	const {version, atUnixMs, section, author, team, reason} = entry.change;
	const {removed, added} = changedLines(entry);
	const place = section === 'all' ? 'the whole document' : `section ${section}`;
	return `${new Date(atUnixMs).toISOString()}  ${words.change}, version ${version}, ${place}, by ${author} (${team}): ${reason}; ${removed} lines removed, ${added} added`;
};

/** Counters of one database in the words of the monitor's section. */
export const countersText = (words: MonitorWords, counters: DatabaseCounters): string => [
	`${words.database} ${counters.database}: ${words.booking} ${counters.bookings}, ${words.payment} ${counters.payments}`,
	...(['lost', 'doubled', 'altered', 'refused'] as const).map(key => `${words[key]} ${counters[key]}`),
].join(', ');
