import {DocumentStore, listChangesBetween, type MonitorWords} from '@dogwoodthread/coordination';
import {
	type Command, type CommandContext, printError, UsageError,
} from '../../../cli/index.js';
import {type AuditCounters} from '../definitions.js';
import {
	countChangedLines, formatChange, formatCounters, describeLimits,
} from '../domain/audit-text.js';
import {parseTimeOption} from '../domain/period.js';

const printCounters = async ({print}: CommandContext, counters: AuditCounters, words: MonitorWords, [fromUnixMs, toUnixMs]: readonly [number, number]): Promise<void> => {
	const read = await counters.readBetween(fromUnixMs, toUnixMs);
	if (read.isErr()) {
		print({json: {event: 'counters', available: false, message: read.error.message}, text: read.error.message});
		return;
	}

	for (const database of read.value.databases) {
		print({json: {event: 'counters', available: true, ...database}, text: formatCounters(words, database)});
	}

	const {firstSampleUnixMs, lastSampleUnixMs, damagedLines} = read.value;
	const limits = describeLimits(words, read.value);
	print({
		json: {
			event: 'counter-limits', firstSampleUnixMs, lastSampleUnixMs, damagedLines, limits,
		}, text: limits.join('\n'),
	});
};

/** Creates `dogwoodctl audit`: accepted changes and counters of a period, in the terms that the section `monitor` sets. */
export const createAuditCommand = (countersFrom: (samplesFile: string | undefined) => AuditCounters): Command => ({
	usage: 'audit',
	description: 'List the accepted changes of a period, oldest first, in the words of the section monitor',
	options: [
		['--from <time>', 'Start: a date (UTC), a time with its zone, or ms since the Unix epoch'],
		['--to <time>', 'End, not included; now if left out'],
		['--samples <file>', 'Samples file of `dogwoodctl report`, for counters of each database'],
	],
	async run(context) {
		const {options, timers} = context;
		const from = parseTimeOption('from', options.requiredText('from'));
		const to = options.text('to') === undefined ? timers.wallClockMs() : parseTimeOption('to', options.requiredText('to'));
		if (from >= to) {
			throw new UsageError('--from must be before --to.');
		}

		const store = new DocumentStore(context.platform());
		const read = await store.read().andThen(({document}) => listChangesBetween(store, from, to)
			.map(entries => ({words: document.monitor.words, entries})));
		if (read.isErr()) {
			return printError(context, read.error);
		}

		const {words, entries} = read.value;
		for (const entry of entries) {
			context.print({
				json: {
					event: 'change', ...entry.change, ...countChangedLines(entry), difference: entry.difference,
				}, text: formatChange(words, entry),
			});
		}

		const period = `from ${new Date(from).toISOString()} to ${new Date(to).toISOString()}`;
		context.print({
			json: {
				event: 'total', from, to, changes: entries.length,
			}, text: `${words.change}: ${entries.length} ${period}`,
		});
		await printCounters(context, countersFrom(options.text('samples')), words, [from, to]);
		return 0;
	},
});
