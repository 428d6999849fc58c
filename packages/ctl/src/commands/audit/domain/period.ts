import {UsageError} from '../../../cli/index.js';

/** Parses a date (`2026-12-01`, from midnight UTC), a time with its zone, or ms since the Unix epoch. */
export const parseTimeOption = (name: string, text: string): number => {
	if (/^\d{1,15}$/.test(text)) {
		return Number(text);
	}

	const isDateOnly = /^\d{4}-\d{2}-\d{2}$/.test(text);
	const isZonedTime = /^\d{4}-\d{2}-\d{2}T[\d:.]+(?:Z|[+-]\d{2}:\d{2})$/.test(text);
	const unixMs = isDateOnly || isZonedTime ? Date.parse(text) : Number.NaN;
	if (Number.isNaN(unixMs)) {
		throw new UsageError(`--${name} is ${text}; give a date such as 2026-12-01, a time such as 2026-12-01T08:00:00Z, or ms since the Unix epoch.`);
	}

	return unixMs;
};
