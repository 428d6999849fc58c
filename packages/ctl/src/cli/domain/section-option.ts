import {isSectionName, type SectionName, sectionNames} from '@dogwoodthread/coordination';
import {type CommandOptions} from '../definitions.js';
import {UsageError} from './command-options.js';

/** Reads `--section`; undefined if it is not given. */
export const readSectionOption = (options: CommandOptions): SectionName | undefined => {
	const name = options.text('section');
	if (name === undefined || isSectionName(name)) {
		return name;
	}

	throw new UsageError(`There is no section ${name}; give one of ${sectionNames.join(', ')}.`);
};

export const readRequiredSection = (options: CommandOptions): SectionName => {
	const section = readSectionOption(options);
	if (section) {
		return section;
	}

	throw new UsageError(`Give --section, one of ${sectionNames.join(', ')}.`);
};
