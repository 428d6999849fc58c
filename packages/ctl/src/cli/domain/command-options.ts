import {type CommandOptions} from '../definitions.js';
import {toGivenText} from './verbatim-arguments.js';

/** Invalid arguments or options; the process exits with code 2. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}

const formatFlag = (name: string): string => `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;

/** Wraps the options parsed by `cac`, whose names are in camel case. */
export const createCommandOptions = (values: Readonly<Record<string, unknown>>): CommandOptions => {
	const text = (name: string): string | undefined => {
		const value = values[name];
		if (Array.isArray(value)) {
			throw new UsageError(`Give ${formatFlag(name)} once.`);
		}

		return typeof value === 'string' || typeof value === 'number' ? toGivenText(value) : undefined;
	};

	return {
		has: name => values[name] === true,
		text,
		requiredText(name) {
			const value = text(name);
			if (value === undefined) {
				throw new UsageError(`Give ${formatFlag(name)}; see --help.`);
			}

			return value;
		},
		texts: name => [values[name] ?? []].flat().map(value => toGivenText(value)),
		wholeNumber(name) {
			const value = text(name);
			if (value === undefined) {
				return undefined;
			}

			if (!/^\d{1,15}$/.test(value)) {
				throw new UsageError(`${formatFlag(name)} is ${value}; give a whole number of at least 0.`);
			}

			return Number(value);
		},
	};
};
